//! Memory and time that a broker's cache directory and placements take at the target size.

use std::time::Instant;

use crate::engine::Engine;
use crate::router;
use crate::router::Policy;
use crate::router::Router;
use crate::workload::Deployment;
use coordination::broker::Event;
use coordination::placement_request::PlacementId;
use coordination::placement_request::PlacementRequest;
use coordination::report::Progress;
use coordination::report::ProgressReport;
use state::cache_directory::Batch;
use state::cache_directory::CacheDirectory;
use state::cache_directory::Change;
use state::cache_directory::UpstreamIndex;
use state::ident::BlockHash;
use state::ident::Incarnation;
use state::rank::Rank;
use state::time;

const PLACEMENTS: u128 = 20_000;
/// Number of blocks in a batch of changes.
const BATCH_LEN: u64 = 100;
const REPLACED_ENTRIES: u64 = 2_000_000;
const PROMPT_BLOCKS: usize = 16;
/// Entries of one broker: the cached blocks of the target size over 11 brokers.
const ENTRIES: u64 = 150_000_000 / 11;
/// Upstreams of one broker: those of the target size over 11 brokers.
const UPSTREAMS: u64 = 1_500 / 11;

/// Fills a cache directory to the target size, replaces a part of its entries, and prints the time
/// and memory that it took.
pub fn measure_directory() {
    let mut directory = CacheDirectory::default();
    let mut sequences = vec![0; UPSTREAMS as usize];
    let start = Instant::now();
    for at in (0..ENTRIES).step_by(BATCH_LEN as usize) {
        let changes = (at..at + BATCH_LEN).map(|n| Change::Stored(block(n)));
        apply(&mut directory, &mut sequences, at, changes.collect());
    }
    let filled = start.elapsed();
    let entries = directory.len();
    let bytes = directory.index_bytes();
    let mut slowest = 0;
    let start = Instant::now();
    for at in (0..REPLACED_ENTRIES).step_by(BATCH_LEN as usize) {
        let pairs = (at..at + BATCH_LEN).flat_map(|n| {
            let removed = Change::Removed(block(n));
            [removed, Change::Stored(block(ENTRIES + BATCH_LEN + n))]
        });
        let batch_start = Instant::now();
        apply(&mut directory, &mut sequences, at, pairs.collect());
        slowest = slowest.max(batch_start.elapsed().as_micros());
    }
    let churned = start.elapsed();
    println!("\n### Directory of one broker at the target\n");
    println!(
        "| entries | bytes per entry | MB | ns per insertion | ns per event | slowest batch µs |"
    );
    println!("|--:|--:|--:|--:|--:|--:|");
    println!(
        "| {entries} | {:.2} | {:.0} | {:.0} | {:.0} | {slowest} |",
        bytes as f64 / entries as f64,
        bytes as f64 / 1e6,
        filled.as_nanos() as f64 / entries as f64,
        churned.as_nanos() as f64 / (2 * REPLACED_ENTRIES) as f64,
    );
}

/// Places requests on as many upstreams as a broker owns at the target size, and prints the time
/// per request.
pub fn measure_placements(small: &Deployment) {
    let deployment = Deployment {
        engines: UPSTREAMS as usize,
        ..*small
    };
    let mut router = Router::new(Policy::Broker, &deployment);
    for index in 0..deployment.engines {
        let report = Engine::new(1).load_report(0);
        let upstream = router::engine_name(index);
        router.step(0, Event::Load { report, upstream });
    }
    let root = BlockHash::root("w0", "m", "v1");
    let start = Instant::now();
    for serial in 0..PLACEMENTS {
        let now = serial as u64 * 1_000;
        let prompt = root.child(&(serial % 500).to_le_bytes());
        let request = PlacementRequest {
            block_tokens: 4_096,
            blocks: prompt.chain(&[7; PROMPT_BLOCKS], 1),
            deadline_ms: 10_000,
            model: "m".to_owned(),
            output_tokens: 30,
            prompt_tokens: 4_096 * PROMPT_BLOCKS as u32 + 100,
            rank: Rank::Urgent,
            placement_id: PlacementId(serial),
            workspace: "w0".to_owned(),
            ..PlacementRequest::default()
        };
        router.step(now, Event::Arrival(request));
        let placement_id = PlacementId(serial);
        for progress in [Progress::FirstToken, Progress::Finished] {
            router.step(
                now,
                Event::Report(ProgressReport {
                    progress,
                    placement_id,
                }),
            );
        }
    }
    let each = start.elapsed().as_nanos() as f64 / PLACEMENTS as f64 / 1_000.0;
    println!(
        "\nOne request over {UPSTREAMS} upstreams and {PROMPT_BLOCKS} blocks: {each:.1} µs for its"
    );
    println!("placement, first token and end, with the hashing of its blocks.");
}

fn apply(directory: &mut CacheDirectory, sequences: &mut [u64], at: u64, changes: Vec<Change>) {
    let upstream = (at / BATCH_LEN % UPSTREAMS) as usize;
    let batch = Batch {
        incarnation: Incarnation(1),
        sequence: sequences[upstream],
        version: "v1".to_owned(),
        changes,
    };
    sequences[upstream] += batch.changes.len() as u64;
    directory.apply_batch(UpstreamIndex(upstream as u16), batch, time::Instant(0));
}

/// Returns a block hash for `number` whose bits are spread like those of a real hash.
fn block(number: u64) -> BlockHash {
    const ODD: u128 = 0x9e37_79b9_7f4a_7c15_f39c_c060_5ced_c835;
    let mixed = u128::from(number + 1).wrapping_mul(ODD);
    BlockHash((mixed ^ (mixed >> 61)).wrapping_mul(ODD))
}
