//! A queue that is fair by workspace, then by caller, in units of work.
//!
//! Each flow has a virtual time that advances by the work it was served, divided by its weight; the
//! flow that lags most is served next. A flow that was idle starts at the time of those in service,
//! so it neither saves up work nor waits behind what others queued before.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

const SCALE: u64 = 1_000;

/// Names the place of an item in the queue.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Place {
    /// Names the caller within its workspace.
    pub caller: String,
    /// Names the workspace.
    pub workspace: String,
}

/// Tells what to do after an item was looked at.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// Leaves the item and looks at the next one.
    Pass,
    /// Ends the search without an item.
    Stop,
    /// Takes the item and charges this much work.
    Take(u64),
}

/// Bounds how far a search goes.
#[derive(Clone, Copy, Debug)]
pub struct Reach {
    /// Bounds the items looked at in all.
    pub items: usize,
    /// Bounds the items looked at of one caller.
    pub of_caller: usize,
}

#[derive(Clone, Debug)]
struct Flow<T> {
    items: VecDeque<T>,
    time: u64,
}

#[derive(Clone, Debug)]
struct Group<T> {
    clock: u64,
    flows: BTreeMap<String, Flow<T>>,
    idle: BTreeMap<String, u64>,
    len: usize,
    order: BTreeSet<(u64, String)>,
    time: u64,
    weight: u64,
}

/// Holds waiting items by workspace and caller.
#[derive(Clone, Debug)]
pub struct Queue<T> {
    clock: u64,
    groups: BTreeMap<String, Group<T>>,
    len: usize,
    order: BTreeSet<(u64, String)>,
}

impl<T> Default for Queue<T> {
    fn default() -> Self {
        Self {
            clock: 0,
            groups: BTreeMap::new(),
            len: 0,
            order: BTreeSet::new(),
        }
    }
}

impl<T> Queue<T> {
    /// Returns how many callers of all workspaces have items waiting.
    pub fn callers(&self) -> usize {
        self.groups.values().map(|group| group.flows.len()).sum()
    }

    /// Returns whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns how many items wait.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns how many items of one caller wait.
    pub fn of_caller(&self, place: &Place) -> usize {
        let group = self.groups.get(&place.workspace);
        let flow = group.and_then(|group| group.flows.get(&place.caller));
        flow.map_or(0, |flow| flow.items.len())
    }

    /// Adds an item at the end of its caller's.
    pub fn push(&mut self, place: &Place, item: T, weight: u64) {
        let clock = self.clock;
        let group = self
            .groups
            .entry(place.workspace.clone())
            .or_insert_with(|| Group::new(clock, weight));
        group.weight = weight.max(1);
        if group.len == 0 {
            group.time = group.time.max(clock);
            self.order.insert((group.time, place.workspace.clone()));
        }
        group.push(&place.caller, item);
        self.len += 1;
    }

    /// Removes and returns all items for which `wanted` holds, in no order of service.
    pub fn remove(&mut self, mut wanted: impl FnMut(&T) -> bool) -> Vec<T> {
        let mut removed = Vec::new();
        for (workspace, group) in &mut self.groups {
            if group.len > 0 && group.remove(&mut wanted, &mut removed) {
                self.order.remove(&(group.time, workspace.clone()));
            }
        }
        self.len -= removed.len();
        removed
    }

    /// Looks at items in order of service until `judge` takes one or the reach ends.
    pub fn take(&mut self, reach: Reach, mut judge: impl FnMut(&T) -> Verdict) -> Option<T> {
        let mut left = reach.items;
        let mut found = None;
        for (_, workspace) in &self.order {
            let group = &self.groups[workspace];
            match group.find(reach.of_caller, &mut left, &mut judge) {
                Search::Found(caller, at, work) => {
                    found = Some((workspace.clone(), caller, at, work));
                    break;
                }
                Search::Nothing => {}
                Search::Stopped => return None,
            }
        }
        let (workspace, caller, at, work) = found?;
        let group = self.groups.get_mut(&workspace).expect("group was found");
        self.order.remove(&(group.time, workspace.clone()));
        self.clock = self.clock.max(group.time);
        let item = group.pop(&caller, at, work);
        group.time += scaled(work, group.weight);
        if group.len > 0 {
            self.order.insert((group.time, workspace));
        }
        self.len -= 1;
        item
    }

    /// Forgets idle workspaces and callers that have nothing left to make up for.
    pub fn tidy(&mut self) {
        let clock = self.clock;
        for group in self.groups.values_mut() {
            let reached = group.clock;
            group.idle.retain(|_, time| *time > reached);
        }
        self.groups
            .retain(|_, group| group.len > 0 || group.time > clock || !group.idle.is_empty());
    }
}

enum Search {
    Found(String, usize, u64),
    Nothing,
    Stopped,
}

impl<T> Group<T> {
    fn new(time: u64, weight: u64) -> Self {
        Self {
            clock: 0,
            flows: BTreeMap::new(),
            idle: BTreeMap::new(),
            len: 0,
            order: BTreeSet::new(),
            time,
            weight: weight.max(1),
        }
    }

    fn find(
        &self,
        of_caller: usize,
        left: &mut usize,
        judge: &mut impl FnMut(&T) -> Verdict,
    ) -> Search {
        for (_, caller) in &self.order {
            let items = &self.flows[caller].items;
            for (at, item) in items.iter().take(of_caller).enumerate() {
                if *left == 0 {
                    return Search::Stopped;
                }
                *left -= 1;
                match judge(item) {
                    Verdict::Pass => {}
                    Verdict::Stop => return Search::Stopped,
                    Verdict::Take(work) => return Search::Found(caller.clone(), at, work),
                }
            }
        }
        Search::Nothing
    }

    fn pop(&mut self, caller: &str, at: usize, work: u64) -> Option<T> {
        let mut flow = self.flows.remove(caller)?;
        self.order.remove(&(flow.time, caller.to_owned()));
        self.clock = self.clock.max(flow.time);
        let item = flow.items.remove(at)?;
        self.len -= 1;
        flow.time += work;
        self.settle(caller, flow);
        Some(item)
    }

    fn push(&mut self, caller: &str, item: T) {
        let clock = self.clock;
        let idle = self.idle.remove(caller).unwrap_or(clock).max(clock);
        let order = &mut self.order;
        let flow = self.flows.entry(caller.to_owned()).or_insert_with(|| {
            order.insert((idle, caller.to_owned()));
            Flow {
                items: VecDeque::new(),
                time: idle,
            }
        });
        flow.items.push_back(item);
        self.len += 1;
    }

    /// Moves wanted items to `removed` and returns whether none is left.
    fn remove(&mut self, wanted: &mut impl FnMut(&T) -> bool, removed: &mut Vec<T>) -> bool {
        let before = removed.len();
        for (caller, mut flow) in std::mem::take(&mut self.flows) {
            self.order.remove(&(flow.time, caller.clone()));
            let items = std::mem::take(&mut flow.items);
            for item in items {
                if wanted(&item) {
                    removed.push(item);
                } else {
                    flow.items.push_back(item);
                }
            }
            self.settle(&caller, flow);
        }
        self.len -= removed.len() - before;
        self.len == 0
    }

    fn settle(&mut self, caller: &str, flow: Flow<T>) {
        if flow.items.is_empty() {
            self.idle.insert(caller.to_owned(), flow.time);
            return;
        }
        self.order.insert((flow.time, caller.to_owned()));
        self.flows.insert(caller.to_owned(), flow);
    }
}

fn scaled(work: u64, weight: u64) -> u64 {
    work.saturating_mul(SCALE) / weight.max(1)
}
