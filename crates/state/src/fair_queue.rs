//! A queue that is fair by workspace, then by caller, in units of work (start-time fair queueing).
//!
//! Each flow has a start tag that advances by the work it was served, divided by its weight; the
//! flow with the least tag is served next. A flow that was idle starts at the virtual time, which
//! is the tag of the flow served last, so it neither saves up work nor waits behind what others
//! queued before.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

/// Units of a start tag for one unit of work at weight 1, so that division by a weight keeps
/// precision.
const SCALE: u64 = 1_000;

/// Identifies the flow that an item belongs to.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct FlowKey {
    /// Name of the caller within its workspace.
    pub caller: String,
    /// Name of the workspace.
    pub workspace: String,
}

/// What to do with an item that a search has reached.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// Leave the item and go on with the next one.
    Skip,
    /// End the search without an item.
    Stop,
    /// Take the item and charge its flow this much work.
    Take(u64),
}

/// Limits on the items that a search looks at.
#[derive(Clone, Copy, Debug)]
pub struct SearchLimits {
    /// Most items in all.
    pub total: usize,
    /// Most items of one caller.
    pub per_caller: usize,
}

/// Waiting items of one caller.
#[derive(Clone, Debug)]
struct CallerQueue<T> {
    items: VecDeque<T>,
    start_tag: u64,
}

/// Callers of one workspace.
#[derive(Clone, Debug)]
struct WorkspaceQueue<T> {
    virtual_time: u64,
    /// Callers with waiting items.
    flows: BTreeMap<String, CallerQueue<T>>,
    /// Start tags of callers without waiting items.
    idle: BTreeMap<String, u64>,
    len: usize,
    /// Callers with waiting items, by start tag.
    order: BTreeSet<(u64, String)>,
    start_tag: u64,
    weight: u64,
}

/// Waiting items by workspace and caller.
#[derive(Clone, Debug)]
pub struct FairQueue<T> {
    virtual_time: u64,
    /// Workspaces, including those without waiting items.
    groups: BTreeMap<String, WorkspaceQueue<T>>,
    len: usize,
    /// Workspaces with waiting items, by start tag.
    order: BTreeSet<(u64, String)>,
}

impl<T> Default for FairQueue<T> {
    fn default() -> Self {
        Self {
            virtual_time: 0,
            groups: BTreeMap::new(),
            len: 0,
            order: BTreeSet::new(),
        }
    }
}

impl<T> FairQueue<T> {
    /// Returns how many callers of all workspaces have items waiting.
    pub fn callers(&self) -> usize {
        self.groups.values().map(|group| group.flows.len()).sum()
    }

    /// Returns whether no item waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns how many items wait.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns how many items of one caller wait.
    pub fn len_of_caller(&self, key: &FlowKey) -> usize {
        let group = self.groups.get(&key.workspace);
        let flow = group.and_then(|group| group.flows.get(&key.caller));
        flow.map_or(0, |flow| flow.items.len())
    }

    /// Adds an item behind the others of its caller; `weight` is that of the workspace.
    pub fn push(&mut self, key: &FlowKey, item: T, weight: u64) {
        let virtual_time = self.virtual_time;
        let group = self
            .groups
            .entry(key.workspace.clone())
            .or_insert_with(|| WorkspaceQueue::new(virtual_time, weight));
        group.weight = weight.max(1);
        if group.len == 0 {
            group.start_tag = group.start_tag.max(virtual_time);
            self.order.insert((group.start_tag, key.workspace.clone()));
        }
        group.push(&key.caller, item);
        self.len += 1;
    }

    /// Removes and returns all items for which `wanted` returns true, in no particular order.
    pub fn remove(&mut self, mut wanted: impl FnMut(&T) -> bool) -> Vec<T> {
        let mut removed = Vec::new();
        for (workspace, group) in &mut self.groups {
            if group.len > 0 && group.remove(&mut wanted, &mut removed) {
                self.order.remove(&(group.start_tag, workspace.clone()));
            }
        }
        self.len -= removed.len();
        removed
    }

    /// Passes items to `decide` in order of service until it takes one or a limit is reached.
    pub fn take(
        &mut self,
        limits: SearchLimits,
        mut decide: impl FnMut(&T) -> Verdict,
    ) -> Option<T> {
        let mut remaining = limits.total;
        let mut found = None;
        for (_, workspace) in &self.order {
            let group = &self.groups[workspace];
            match group.find(limits.per_caller, &mut remaining, &mut decide) {
                Search::Found(caller, position, work) => {
                    found = Some((workspace.clone(), caller, position, work));
                    break;
                }
                Search::Nothing => {}
                Search::Stopped => return None,
            }
        }
        let (workspace, caller, position, work) = found?;
        let group = self.groups.get_mut(&workspace).expect("group was found");
        self.order.remove(&(group.start_tag, workspace.clone()));
        self.virtual_time = self.virtual_time.max(group.start_tag);
        let item = group.pop(&caller, position, work);
        group.start_tag += weighted(work, group.weight);
        if group.len > 0 {
            self.order.insert((group.start_tag, workspace));
        }
        self.len -= 1;
        item
    }

    /// Forgets idle workspaces and callers whose start tags the virtual time has passed.
    pub fn remove_idle(&mut self) {
        let virtual_time = self.virtual_time;
        for group in self.groups.values_mut() {
            let now = group.virtual_time;
            group.idle.retain(|_, start_tag| *start_tag > now);
        }
        self.groups.retain(|_, group| {
            group.len > 0 || group.start_tag > virtual_time || !group.idle.is_empty()
        });
    }
}

/// Result of the search in one workspace.
enum Search {
    /// Caller, position of the item in the caller's queue, and the work to charge.
    Found(String, usize, u64),
    Nothing,
    Stopped,
}

impl<T> WorkspaceQueue<T> {
    fn new(start_tag: u64, weight: u64) -> Self {
        Self {
            virtual_time: 0,
            flows: BTreeMap::new(),
            idle: BTreeMap::new(),
            len: 0,
            order: BTreeSet::new(),
            start_tag,
            weight: weight.max(1),
        }
    }

    /// Finds the next item of this workspace that `decide` takes.
    fn find(
        &self,
        per_caller: usize,
        remaining: &mut usize,
        decide: &mut impl FnMut(&T) -> Verdict,
    ) -> Search {
        for (_, caller) in &self.order {
            let items = &self.flows[caller].items;
            for (position, item) in items.iter().take(per_caller).enumerate() {
                if *remaining == 0 {
                    return Search::Stopped;
                }
                *remaining -= 1;
                match decide(item) {
                    Verdict::Skip => {}
                    Verdict::Stop => return Search::Stopped,
                    Verdict::Take(work) => return Search::Found(caller.clone(), position, work),
                }
            }
        }
        Search::Nothing
    }

    fn pop(&mut self, caller: &str, position: usize, work: u64) -> Option<T> {
        let mut flow = self.flows.remove(caller)?;
        self.order.remove(&(flow.start_tag, caller.to_owned()));
        self.virtual_time = self.virtual_time.max(flow.start_tag);
        let item = flow.items.remove(position)?;
        self.len -= 1;
        flow.start_tag += work;
        self.requeue(caller, flow);
        Some(item)
    }

    fn push(&mut self, caller: &str, item: T) {
        let virtual_time = self.virtual_time;
        let idle = self
            .idle
            .remove(caller)
            .unwrap_or(virtual_time)
            .max(virtual_time);
        let order = &mut self.order;
        let flow = self.flows.entry(caller.to_owned()).or_insert_with(|| {
            order.insert((idle, caller.to_owned()));
            CallerQueue {
                items: VecDeque::new(),
                start_tag: idle,
            }
        });
        flow.items.push_back(item);
        self.len += 1;
    }

    /// Moves wanted items to `removed` and returns whether the workspace has no items left.
    fn remove(&mut self, wanted: &mut impl FnMut(&T) -> bool, removed: &mut Vec<T>) -> bool {
        let before = removed.len();
        for (caller, mut flow) in std::mem::take(&mut self.flows) {
            self.order.remove(&(flow.start_tag, caller.clone()));
            let items = std::mem::take(&mut flow.items);
            for item in items {
                if wanted(&item) {
                    removed.push(item);
                } else {
                    flow.items.push_back(item);
                }
            }
            self.requeue(&caller, flow);
        }
        self.len -= removed.len() - before;
        self.len == 0
    }

    /// Puts a caller's queue back under its new start tag, or records it as idle.
    fn requeue(&mut self, caller: &str, flow: CallerQueue<T>) {
        if flow.items.is_empty() {
            self.idle.insert(caller.to_owned(), flow.start_tag);
            return;
        }
        self.order.insert((flow.start_tag, caller.to_owned()));
        self.flows.insert(caller.to_owned(), flow);
    }
}

fn weighted(work: u64, weight: u64) -> u64 {
    work.saturating_mul(SCALE) / weight.max(1)
}
