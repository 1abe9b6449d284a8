//! Keeps the explanations of the newest requests.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::MutexGuard;

use protocol::operator::Explanation;

const KEPT_EXPLANATIONS: usize = 4096;

#[derive(Debug, Default)]
struct Pages {
    by_id: BTreeMap<String, Explanation>,
    order: VecDeque<String>,
}

/// Keeps a bounded number of explanations; the oldest go first.
#[derive(Debug, Default)]
pub struct Journal {
    pages: Mutex<Pages>,
}

impl Journal {
    /// Returns the explanation of the request `id`.
    pub fn get(&self, id: &str) -> Option<Explanation> {
        self.lock().by_id.get(id).cloned()
    }

    /// Stores `explanation` in place of an earlier one of the same request.
    pub fn put(&self, explanation: Explanation) {
        let mut pages = self.lock();
        let id = explanation.id.clone();
        if pages.by_id.insert(id.clone(), explanation).is_none() {
            pages.order.push_back(id);
        }
        if pages.order.len() > KEPT_EXPLANATIONS
            && let Some(oldest) = pages.order.pop_front()
        {
            pages.by_id.remove(&oldest);
        }
    }

    fn lock(&self) -> MutexGuard<'_, Pages> {
        self.pages
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}
