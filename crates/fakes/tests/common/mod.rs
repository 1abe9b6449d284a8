//! A fake engine with a client, and the requests and orders that the tests send to it.

#![allow(dead_code)]

use tokio::time::Duration;

use fakes::engine::Engine;
use fakes::engine::Options;
use protocol::engine;
use protocol::engine::Code;
use protocol::engine::Finish;
use state::ident::BlockHash;
use transport::engine::Client;
use transport::engine::Item;
use transport::upstream::Error;
use transport::upstream::Limits;

/// Length of the prompt that each block covers, in bytes.
pub const BLOCK_BYTES: u64 = 16;
/// A prompt of two whole blocks and a partial one.
pub const PROMPT: &str = "0123456789abcdef0123456789ABCDEF and a tail";

/// Returns limits with an idle timeout that is short enough for a test of a stalled stream.
pub fn limits() -> Limits {
    Limits {
        idle_timeout: Duration::from_millis(300),
        ..Limits::default()
    }
}

/// Starts a fake engine with changed options, and returns it with a client.
pub async fn start_engine(change: impl FnOnce(&mut Options)) -> (Engine, Client) {
    let mut options = Options {
        block_bytes: BLOCK_BYTES,
        ..Options::default()
    };
    change(&mut options);
    let engine = Engine::start(options).await.unwrap();
    let client = Client::new(engine.address(), limits());
    (engine, client)
}

/// Returns a request for eight tokens, with the block hashes of `prompt` in `workspace`.
pub fn request(workspace: &str, prompt: &str) -> engine::Request {
    let blocks =
        BlockHash::root(workspace, "m", "v1").chain(prompt.as_bytes(), BLOCK_BYTES as usize);
    engine::Request {
        cache: engine::Cache {
            block_bytes: BLOCK_BYTES,
            blocks,
            salt: workspace.to_owned(),
        },
        id: "a-1".to_owned(),
        max_tokens: 8,
        model: "m".to_owned(),
        priority: 0,
        prompt: prompt.to_owned(),
        resume: None,
        rest: serde_json::Map::new(),
    }
}

/// The parts of a streamed answer that arrived.
#[derive(Debug, Default, PartialEq)]
pub struct StreamedAnswer {
    pub ended: bool,
    pub finish: Option<Finish>,
    pub ids: Vec<String>,
    pub offsets: Vec<u64>,
    pub text: String,
    pub usage: Option<engine::Usage>,
}

/// Reads an answer until it ends or fails, and returns what arrived with the error, if any.
pub async fn read_answer(
    client: &Client,
    request: &engine::Request,
) -> (StreamedAnswer, Option<Error>) {
    let mut answer = StreamedAnswer::default();
    let mut stream = match client.complete(request, None).await {
        Ok(stream) => stream,
        Err(error) => return (answer, Some(error)),
    };
    loop {
        match stream.next().await {
            Err(error) => return (answer, Some(error)),
            Ok(None) => return (answer, None),
            Ok(Some(Item::End)) => answer.ended = true,
            Ok(Some(Item::Heartbeat)) => {}
            Ok(Some(Item::Piece(piece))) => {
                answer.finish = answer.finish.or(piece.finish);
                answer.ids.push(piece.id);
                answer.offsets.push(piece.offset);
                answer.text.push_str(&piece.text);
                answer.usage = answer.usage.or(piece.usage);
            }
        }
    }
}

/// Returns an order to load `version`, with `fence` as its fencing token.
pub fn load_order(fence: u64, version: &str) -> engine::Order {
    engine::Order {
        action: engine::Action::Load {
            adapter: None,
            model: "m".to_owned(),
            version: version.to_owned(),
        },
        fence,
        id: format!("load-{version}"),
    }
}

/// Returns the code of a refusal, and panics on any other result.
pub fn refusal_code<T: std::fmt::Debug>(result: Result<T, Error>) -> Code {
    match result {
        Err(Error::Refused { refusal, .. }) => refusal.code,
        other => panic!("{other:?}"),
    }
}
