//! Shows the main job on one machine: a daemon with stand-ins, and what each step must bring.

use std::fmt::Display;
use std::io::Write;
use std::time::Duration;

use error_stack::Report;

use crate::demo_bench::Bench;
use crate::demo_bench::Reply;
use crate::error::Error;

const BLOCK: usize = 64;
const ENGINES: usize = 3;
const EVENT_PAUSE: Duration = Duration::from_millis(200);
const EVENT_TRIES: usize = 100;
const MAPS: &str = "maps";
const PROBES: usize = 12;
const STORES: &str = "stores";

/// Runs the demonstration and writes what was decided, and why, to `out`.
///
/// # Errors
///
/// Returns the first step that did not happen, with what was expected and found.
pub async fn run(arguments: &[String], out: &mut impl Write) -> Result<(), Report<Error>> {
    if !arguments.is_empty() {
        let usage = "demo".to_owned();
        return Err(Error::Usage { usage }.into());
    }
    let mut demo = Demo {
        bench: Bench::start(ENGINES, BLOCK).await?,
        out,
        step: 0,
    };
    demo.tell("A daemon with one voter and three stand-in engines serves two workspaces.")?;
    demo.workspaces_share_nothing().await?;
    demo.nested_prefix_hits().await?;
    demo.broken_stream_is_resumed().await?;
    demo.order_runs_once().await?;
    demo.edit_takes_effect().await?;
    demo.tell("Every step happened.")?;
    demo.bench.end().await;
    Ok(())
}

struct Demo<'a, W> {
    bench: Bench,
    out: &'a mut W,
    step: usize,
}

impl<W: Write> Demo<'_, W> {
    async fn workspaces_share_nothing(&mut self) -> Result<(), Report<Error>> {
        self.title("Two workspaces share nothing")?;
        let prompt = text("dossier", 8);
        let cold = self.computed(MAPS, &prompt).await?;
        self.expect("maps computes its whole dossier", 8, cold)?;
        let warm = self.computed_soon(0, |_| prompt.clone()).await?;
        self.expect("maps asks again and computes nothing", 0, warm)?;
        let other = self.computed(STORES, &prompt).await?;
        self.expect("stores sends the same text and hits nothing", 8, other)
    }

    async fn nested_prefix_hits(&mut self) -> Result<(), Report<Error>> {
        self.title("A nested prefix hits")?;
        let coast = text("dossier", 8) + &text("coast", 4);
        let first = self
            .computed(MAPS, &(coast.clone() + &text("cove", 2)))
            .await?;
        self.expect("the coast and the cove are new below the dossier", 6, first)?;
        let reef = |index| coast.clone() + &text(&format!("reef {index}"), 2);
        let second = self.computed_soon(2, reef).await?;
        self.expect("the reef is new below the coast", 2, second)
    }

    async fn broken_stream_is_resumed(&mut self) -> Result<(), Report<Error>> {
        self.title("A stream breaks and is resumed")?;
        for engine in &self.bench.engines {
            engine.update_faults(|faults| faults.disconnect_at = Some(10));
        }
        let prompt = text("print run", 2);
        let reply = self.bench.complete(MAPS, &prompt, 40).await?;
        let whole = self.bench.engines[0].text(&prompt, 0, 40);
        self.expect(
            "the caller gets each token once, in order",
            whole,
            reply.text(),
        )?;
        self.explain(&reply).await
    }

    async fn order_runs_once(&mut self) -> Result<(), Report<Error>> {
        self.title("An order is sent twice and runs once")?;
        let first = self.bench.order("booking-7").await?;
        let second = self.bench.order("booking-7").await?;
        self.expect("both answers are the same", &first.body, &second.body)?;
        let runs: u64 = self.bench.service.runs().values().sum();
        self.expect("the service ran it once", 1, runs)
    }

    async fn edit_takes_effect(&mut self) -> Result<(), Report<Error>> {
        self.title("A cell is edited and takes effect")?;
        let receipt = self.bench.leave("u1").await?;
        let note = format!("u1 is leaving since revision {}", receipt.revision);
        self.tell(&note)?;
        let before = self.bench.engines[0].counts().started_prompts;
        for probe in 0..PROBES {
            let prompt = text(&format!("probe {probe}"), 1);
            self.bench.complete(STORES, &prompt, 2).await?;
        }
        let after = self.bench.engines[0].counts().started_prompts;
        self.expect("u1 gets none of twelve new requests", 0, after - before)
    }

    async fn computed(&mut self, workspace: &str, prompt: &str) -> Result<u64, Report<Error>> {
        let before = self.bench.prefilled();
        let reply = self.bench.complete(workspace, prompt, 4).await?;
        let computed = self.bench.prefilled() - before;
        self.explain(&reply).await?;
        Ok(computed)
    }

    /// Asks until the cache events have arrived and `expected` blocks are computed.
    async fn computed_soon(
        &mut self,
        expected: u64,
        prompt: impl Fn(usize) -> String,
    ) -> Result<u64, Report<Error>> {
        let mut computed = 0;
        for index in 0..EVENT_TRIES {
            tokio::time::sleep(EVENT_PAUSE).await;
            let before = self.bench.prefilled();
            let reply = self.bench.complete(MAPS, &prompt(index), 4).await?;
            computed = self.bench.prefilled() - before;
            if computed == expected {
                self.explain(&reply).await?;
                break;
            }
        }
        Ok(computed)
    }

    async fn explain(&mut self, reply: &Reply) -> Result<(), Report<Error>> {
        let explanation = self.bench.explain(&reply.id).await?;
        for candidate in &explanation.candidates {
            let why = candidate.passed_over.as_deref().unwrap_or("chosen");
            self.tell(&format!(
                "{}: {} tokens cached, first token expected in {:.1} ms: {why}",
                candidate.upstream, candidate.cached_tokens, candidate.score_ms,
            ))?;
        }
        for attempt in &explanation.attempts {
            self.tell(&format!(
                "ran on {} from token {}: {}",
                attempt.upstream, attempt.offset, attempt.outcome,
            ))?;
        }
        Ok(())
    }

    fn expect<T: Display + PartialEq>(
        &mut self,
        what: &str,
        expected: T,
        found: T,
    ) -> Result<(), Report<Error>> {
        if expected == found {
            return self.tell(&format!("ok: {what}"));
        }
        Err(Error::Demo {
            expected: expected.to_string(),
            found: found.to_string(),
            step: what.to_owned(),
        }
        .into())
    }

    fn tell(&mut self, line: &str) -> Result<(), Report<Error>> {
        crate::write(self.out, &format!("   {line}\n"))
    }

    fn title(&mut self, title: &str) -> Result<(), Report<Error>> {
        self.step += 1;
        crate::write(self.out, &format!("\n{}. {title}\n", self.step))
    }
}

/// Returns a text of `blocks` whole blocks that all differ.
fn text(topic: &str, blocks: usize) -> String {
    let block = |index| format!("{:-<BLOCK$}", format!("{topic} {index} "));
    (0..blocks).map(block).collect()
}
