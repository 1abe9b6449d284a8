//! Engines that tell the leading host their paces.

use coordination::load::pace::Learner;
use coordination::load::told::Told;
use coordination::upstream::Fleet;
use state::time::Instant;

/// Number of engines.
pub const ENGINES: usize = 30;

/// Returns the number in the ID of an engine.
pub fn number(id: &str) -> usize {
    id[1..].parse().unwrap()
}

/// Paces of a third of the engines each: fast, usual and slow.
pub fn mixed(engine: usize) -> u32 {
    [60, 100, 160][engine % 3]
}

/// Records that each engine tells the pace that `pace` gives it.
pub fn tell(learner: &mut Learner, now: Instant, fleet: &Fleet, pace: impl Fn(usize) -> u32) {
    let told = fleet.upstreams.iter().map(|upstream| {
        let told = Told {
            pace_percent: pace(number(&upstream.id)),
            slots: 32,
            ..Told::default()
        };
        (upstream.id.clone(), told)
    });
    learner.record_told(now, &told.collect());
}

/// Returns a learner to which engines have told these paces for a second.
pub fn taught(fleet: &Fleet, pace: impl Fn(usize) -> u32) -> Learner {
    let mut learner = Learner::default();
    for at in (0..1_000).step_by(100) {
        tell(&mut learner, Instant(at), fleet, &pace);
    }
    learner
}
