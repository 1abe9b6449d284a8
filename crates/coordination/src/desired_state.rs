//! The desired state of the engines, as the table defines it.

use std::collections::BTreeMap;

use crate::engine_state::Action;
use crate::engine_state::EngineState;
use state::column::Column;
use state::row::Row;
use state::sheet::Sheet;
use state::table::Table;

const DEFAULT_LOAD_LIMIT: u64 = 2;
const DEFAULT_MINIMUM_SERVING: u64 = 1;
const ENGINE_TYPE: &str = "engine";
const SERVING_STANDING: &str = "serving";

/// What one engine should serve.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Goal {
    /// Name of the adapter, if any.
    pub adapter: Option<String>,
    /// Whether the engine refuses orders that carry an old fencing token.
    pub checks_fence: bool,
    /// Upper limit on the engines that load weights at once.
    pub load_limit: u64,
    /// Name of the model.
    pub model: String,
    /// Role of the engine, if the table sets one.
    pub role: Option<String>,
    /// Weights version.
    pub version: String,
}

impl Goal {
    /// Returns the next action that leads from `state` to this goal, or `None` if it is reached.
    pub fn next_action(&self, state: &EngineState) -> Option<Action> {
        let serves = state.model == self.model
            && state.version == self.version
            && state.adapter == self.adapter;
        if !serves {
            return Some(Action::Load {
                adapter: self.adapter.clone(),
                model: self.model.clone(),
                version: self.version.clone(),
            });
        }
        let role = self.role.clone()?;
        (role != state.role).then_some(Action::Role(role))
    }
}

/// The goals of all engines, and how many engines each model must keep.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct DesiredState {
    /// Goals by the name of the engine.
    pub goals: BTreeMap<String, Goal>,
    /// Number of engines that must go on serving a model, by the name of the model.
    pub minimum_serving: BTreeMap<String, u64>,
}

impl DesiredState {
    /// Reads the desired state from the table. An engine that is leaving or off, or whose model is
    /// not in the table, has no goal.
    pub fn from_table(table: &Table) -> Self {
        let minimum = |(name, row): (&str, &Row)| {
            let minimum = row.number(Column::MinimumServing);
            (name.to_owned(), minimum.unwrap_or(DEFAULT_MINIMUM_SERVING))
        };
        let goal = |(name, row): (&str, &Row)| Some((name.to_owned(), goal(table, row)?));
        Self {
            goals: table.sheet(Sheet::Upstreams).filter_map(goal).collect(),
            minimum_serving: table.sheet(Sheet::Models).map(minimum).collect(),
        }
    }

    /// Returns how many engines must go on serving `model`; 0 if it is no longer in the table.
    pub fn minimum_serving(&self, model: &str) -> u64 {
        self.minimum_serving.get(model).copied().unwrap_or_default()
    }

    /// Returns whether the engine can never be taken out of service, because its model has no more
    /// engines than must go on serving it.
    pub fn is_always_needed(&self, name: &str) -> bool {
        let Some(goal) = self.goals.get(name) else {
            return false;
        };
        let same_model = self
            .goals
            .values()
            .filter(|other| other.model == goal.model);
        same_model.count() as u64 <= self.minimum_serving(&goal.model)
    }
}

fn goal(table: &Table, row: &Row) -> Option<Goal> {
    let standing = row.text(Column::Standing).unwrap_or(SERVING_STANDING);
    if row.text(Column::Type) != Some(ENGINE_TYPE) || standing != SERVING_STANDING {
        return None;
    }
    let name = row.text(Column::Model)?;
    let model = table.get(Sheet::Models, name)?;
    let load_limit = model.number(Column::LoadLimit);
    Some(Goal {
        adapter: model.text(Column::Adapter).map(str::to_owned),
        checks_fence: row.flag(Column::ChecksFence).unwrap_or(false),
        load_limit: load_limit.unwrap_or(DEFAULT_LOAD_LIMIT),
        model: name.to_owned(),
        role: row.text(Column::Role).map(str::to_owned),
        version: model.text(Column::Version)?.to_owned(),
    })
}
