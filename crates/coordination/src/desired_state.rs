//! What the table asks of the engines.

use std::collections::BTreeMap;

use crate::engine_state::Action;
use crate::engine_state::EngineState;
use state::column::Column;
use state::row::Row;
use state::sheet::Sheet;
use state::table::Table;

const DEFAULT_LOAD_LIMIT: u64 = 2;
const DEFAULT_MINIMUM_SERVING: u64 = 1;
const ENGINE: &str = "engine";
const SERVING: &str = "serving";

/// Describes what one engine should serve.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Goal {
    /// Names the adapter, if any.
    pub adapter: Option<String>,
    /// Tells whether the engine refuses orders that carry an old fencing number.
    pub checks_fence: bool,
    /// Bounds the engines that load at once.
    pub load_limit: u64,
    /// Names the model.
    pub model: String,
    /// Names the role, where the table names one.
    pub role: Option<String>,
    /// Names the weights version.
    pub version: String,
}

impl Goal {
    /// Returns the next order that leads from `standing` to this goal.
    pub fn next_action(&self, standing: &EngineState) -> Option<Action> {
        let serves = standing.model == self.model
            && standing.version == self.version
            && standing.adapter == self.adapter;
        if !serves {
            return Some(Action::Load {
                adapter: self.adapter.clone(),
                model: self.model.clone(),
                version: self.version.clone(),
            });
        }
        let role = self.role.clone()?;
        (role != standing.role).then_some(Action::Role(role))
    }
}

/// Holds the goals of all engines.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct DesiredState {
    /// Maps the names of engines to their goals.
    pub goals: BTreeMap<String, Goal>,
    /// Maps the names of models to how many engines must go on serving them.
    pub minimum_serving: BTreeMap<String, u64>,
}

impl DesiredState {
    /// Reads the goals from the table; an engine that leaves, is off or has no
    /// model in the table has none.
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

    /// Returns how many engines must go on serving `model`; none where it left the table.
    pub fn minimum_serving(&self, model: &str) -> u64 {
        self.minimum_serving.get(model).copied().unwrap_or_default()
    }

    /// Returns whether no roll-out of others can ever let an engine go.
    pub fn is_always_needed(&self, name: &str) -> bool {
        let Some(goal) = self.goals.get(name) else {
            return false;
        };
        let same = self
            .goals
            .values()
            .filter(|other| other.model == goal.model);
        same.count() as u64 <= self.minimum_serving(&goal.model)
    }
}

fn goal(table: &Table, row: &Row) -> Option<Goal> {
    let standing = row.text(Column::Standing).unwrap_or(SERVING);
    if row.text(Column::Type) != Some(ENGINE) || standing != SERVING {
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
