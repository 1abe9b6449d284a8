//! A short soak of real daemons under faults from outside, by fixed seeds.
//!
//! `SOAK_SEEDS=1-50 cargo test --release -p hibiscushoistd --test soak_seeds` plays others.

mod processes;
mod soak;

/// Lists the seeds that every run plays: two short ones, and each that failed once.
const SEEDS: [u64; 2] = [1, 2];
/// Names the variable that holds other seeds, as the first and the last.
const VARIABLE: &str = "SOAK_SEEDS";

fn seeds() -> Vec<u64> {
    let given = std::env::var(VARIABLE).ok();
    let range = given.as_deref().and_then(|text| text.split_once('-'));
    match range {
        None => SEEDS.to_vec(),
        Some((first, last)) => {
            let number = |text: &str| text.parse::<u64>().expect("seeds are numbers");
            (number(first)..=number(last)).collect()
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn promises_hold_while_faults_overlap() {
    let mut failed = Vec::new();
    for seed in seeds() {
        let report = soak::run(seed).await;
        println!("{report}");
        if !report.broken.is_empty() {
            failed.push(report);
        }
    }
    assert!(failed.is_empty(), "{failed:#?}");
}
