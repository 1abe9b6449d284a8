//! Tests of hosts that choose by the same news. The pattern they answer: between two routing
//! updates many hosts send short prompts, and a few engines are idle by the last one.

mod upstream_fixtures;

use crate::upstream_fixtures::engines;
use coordination::demand::Demand;
use coordination::dispatch::Dispatcher;
use coordination::load::told::Told;
use coordination::rendezvous::scatter;
use coordination::upstream::Fleet;
use coordination::upstream_load::UpstreamLoad;
use state::time::Instant;

const HOSTS: u64 = 40;
const PROMPTS: u64 = 8;
const SLOTS: u32 = 12;
/// Requests that an engine holds; it rejects others.
const HELD: usize = 48;

/// Returns how many requests the first `idle` of 60 engines get at most, where the others run
/// nearly as many as they can; with `slots_told` 0 they do not tell their load.
fn most_at_idle_engines(mut fleet: Fleet, idle: usize, slots_told: u32) -> usize {
    let now = Instant(1_000);
    for upstream in &mut fleet.upstreams {
        upstream.slots = SLOTS;
    }
    let busy = UpstreamLoad {
        running: SLOTS - 1,
        ..UpstreamLoad::default()
    };
    let loads = fleet.upstreams.iter().skip(idle);
    let loads = loads.map(|upstream| (upstream.id.clone(), busy));
    let connected: Vec<_> = fleet.upstreams.iter().map(|u| u.address).collect();
    let mut sent = vec![0; idle];
    for host in 0..HOSTS {
        let mut dispatcher = Dispatcher::new(host);
        for prompt in 0..=PROMPTS {
            let demand = Demand {
                connected: connected.clone(),
                first_byte_left_ms: 400,
                left_ms: 3_000,
                model: Some("m".to_owned()),
                newest_weights: 2,
                random: scatter(host, prompt),
                service: "engines".to_owned(),
                ..Demand::default()
            };
            dispatcher.set_other_loads(now, loads.clone().collect());
            let choice = dispatcher.choose(now, &fleet, &demand).unwrap();
            let mut in_flight = dispatcher.record_sent(now, &choice, &demand);
            if prompt == 0 {
                let told = Told {
                    slots: slots_told,
                    ..Told::default()
                };
                dispatcher.record_accepted(now, &mut in_flight, Some(told));
                dispatcher.record_end(&in_flight);
                continue;
            }
            let number: usize = choice.upstream.id[1..].parse().unwrap();
            if let Some(sent) = sent.get_mut(number) {
                *sent += 1;
            }
        }
    }
    sent.into_iter().max().unwrap()
}

/// Load: five of sixty engines have just loaded new weights, and are idle.
#[test]
fn engines_with_new_weights_are_not_filled_at_once() {
    let mut fleet = engines(60);
    for upstream in fleet.upstreams.iter_mut().take(5) {
        upstream.weights.insert("m".to_owned(), 2);
    }
    let (most, untold) = (
        most_at_idle_engines(fleet.clone(), 5, SLOTS),
        most_at_idle_engines(fleet, 5, 0),
    );
    assert!((1..=HELD).contains(&most), "{most} requests");
    assert!(untold > HELD, "{untold} requests");
}

/// Load: one engine of sixty is idle, and all hosts keep a connection to it.
#[test]
fn an_idle_engine_is_not_filled_at_once() {
    let (most, untold) = (
        most_at_idle_engines(engines(60), 1, SLOTS),
        most_at_idle_engines(engines(60), 1, 0),
    );
    assert!((1..=HELD).contains(&most), "{most} requests");
    assert!(untold > HELD, "{untold} requests");
}
