//! What is done to a fleet and when, drawn from a seed.

use std::time::Duration;

use rand::Rng;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use strum::EnumIter;
use strum::IntoEnumIterator;

use crate::soak::proxy::Mode;
use fakes::service::Fault;

/// Gives the time in which faults begin.
pub const SPAN: Duration = Duration::from_secs(6);
/// Bounds the time for which a fault lasts, in milliseconds.
const LONGEST_MS: u64 = 2_500;
/// Gives the least time for which a fault lasts, in milliseconds.
const SHORTEST_MS: u64 = 200;
/// Counts the faults of a run.
const FAULTS: usize = 10;

/// Names a way to fail.
#[derive(Clone, Copy, Debug, EnumIter, Eq, PartialEq)]
pub enum Kind {
    /// Crashes an engine.
    Crash,
    /// Switches the mode of the link to an engine or to a host.
    Link,
    /// Kills a host and starts it again.
    Kill,
    /// Pauses a host.
    Pause,
    /// Resets the open connections of a link.
    Reset,
    /// Has the service fail.
    Service,
    /// Silences the open connections of a link.
    Silence,
    /// Stops a host gracefully and starts it again.
    Stop,
}

/// Names what a link leads to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Target {
    /// Is an engine.
    Engine(usize),
    /// Is a host, as its peers reach it.
    Host(usize),
}

/// Does one thing to the fleet.
#[derive(Clone, Copy, Debug)]
pub struct Step {
    /// Gives the time from the start of the run.
    pub at: Duration,
    /// Tells what is done.
    pub action: Action,
    /// Gives how long it lasts.
    pub lasts: Duration,
}

/// Tells what is done.
#[derive(Clone, Copy, Debug)]
pub enum Action {
    /// Crashes an engine.
    Crash(usize),
    /// Kills a host; it starts again at the end.
    Kill(usize),
    /// Switches a link.
    Link(Target, Mode),
    /// Pauses a host.
    Pause(usize),
    /// Resets the open connections of a link.
    Reset(Target),
    /// Has the service fail.
    Service(Fault),
    /// Silences the open connections of a link.
    Silence(Target),
    /// Stops a host gracefully; it starts again once it has ended.
    Stop(usize),
}

/// Draws the steps of a run, in the order of their times.
pub fn draw(seed: u64, hosts: usize, engines: usize) -> Vec<Step> {
    let mut random = StdRng::seed_from_u64(seed);
    let kinds: Vec<Kind> = Kind::iter().collect();
    let mut steps: Vec<Step> = (0..FAULTS)
        .map(|_| {
            let kind = kinds[random.random_range(0..kinds.len())];
            let span_ms = SPAN.as_millis() as u64;
            Step {
                at: Duration::from_millis(random.random_range(0..span_ms)),
                action: action(&mut random, kind, hosts, engines),
                lasts: Duration::from_millis(random.random_range(SHORTEST_MS..LONGEST_MS)),
            }
        })
        .collect();
    steps.sort_by_key(|step| step.at);
    steps
}

fn action(random: &mut impl Rng, kind: Kind, hosts: usize, engines: usize) -> Action {
    let host = random.random_range(0..hosts);
    let engine = random.random_range(0..engines);
    let target = match random.random_bool(0.5) {
        false => Target::Engine(engine),
        true => Target::Host(host),
    };
    match kind {
        Kind::Crash => Action::Crash(engine),
        Kind::Kill => Action::Kill(host),
        Kind::Link => Action::Link(
            target,
            match random.random_range(0..3) {
                0 => Mode::CutIn,
                1 => Mode::CutOut,
                _ => Mode::Delay(Duration::from_millis(random.random_range(5..200))),
            },
        ),
        Kind::Pause => Action::Pause(host),
        Kind::Reset => Action::Reset(target),
        Kind::Service => Action::Service(match random.random_range(0..4) {
            0 => Fault::Declines,
            1 => Fault::Fails,
            2 => Fault::HangsAfter,
            _ => Fault::LosesAnswer,
        }),
        Kind::Silence => Action::Silence(target),
        Kind::Stop => Action::Stop(host),
    }
}
