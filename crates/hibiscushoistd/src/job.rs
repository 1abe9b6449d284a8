//! A caller's request for a completion, checked and made ready for placement.

use std::time::Duration;

use bytes::Bytes;

use crate::request::Request;
use coordination::broker::PlacementId;
use coordination::broker::PlacementRequest;
use protocol::completion;
use protocol::header;
use protocol::refusal::Reason;
use state::column::Column;
use state::ident::BlockHash;
use state::ident::Digest;
use state::rank::Rank;
use state::row::Row;
use state::sheet::Sheet;
use state::table::Table;
use state::time::Instant;

const BYTES_PER_TOKEN: usize = 4;
const DEFAULT_BLOCK_BYTES: u64 = 16 << 10;
const DEFAULT_DEADLINE: Duration = Duration::from_secs(600);
const LONGEST_DEADLINE_MS: u64 = 86_400_000;
const MOST_TOKENS: u64 = 1 << 20;

/// Stands for a block's name without a weights version; see [`BlockHash::with_version`].
const NO_VERSION: &str = "";

/// Names the shape of the answer that a caller wants.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Shape {
    /// Answers a conversation.
    Chat,
    /// Continues a prompt.
    Plain,
}

/// Holds a checked request.
#[derive(Clone, Debug)]
pub struct Job {
    /// Holds the bytes of prompt in one cached block.
    pub block_bytes: usize,
    /// Holds what the broker is asked.
    pub ask: PlacementRequest,
    /// Holds the point in time after which the answer is of no more use.
    pub deadline: Instant,
    /// Identifies the content.
    pub digest: Digest,
    /// Names the request.
    pub id: String,
    /// Bounds the answer, in tokens.
    pub max_tokens: u64,
    /// Holds the prompt as one text.
    pub prompt: String,
    /// Holds the request as the caller sent it.
    pub request: completion::Request,
    /// Names the shape of the answer.
    pub shape: Shape,
}

/// Gives what a job takes from its surroundings.
#[derive(Clone, Copy, Debug)]
pub struct Setting<'a> {
    /// Names the failure domain of the host.
    pub domain: &'a str,
    /// Gives the present point in time.
    pub now: Instant,
    /// Holds the table in force.
    pub table: &'a Table,
    /// Names the workspace.
    pub workspace: &'a str,
}

impl Job {
    /// Checks `body` and makes it ready for placement.
    ///
    /// # Errors
    ///
    /// Returns `BadRequest` for a malformed body or header, and `UnknownModel`.
    pub fn read(
        request: &Request,
        body: &Bytes,
        shape: Shape,
        setting: Setting<'_>,
    ) -> Result<Self, Reason> {
        let asked: completion::Request =
            serde_json::from_slice(body).map_err(|_| Reason::BadRequest)?;
        let kind = request.header(header::KIND).unwrap_or_default().to_owned();
        let row = kind_row(setting.table, &kind)?;
        let model = setting.table.get(Sheet::Models, asked.model.as_str());
        let model = model.ok_or(Reason::UnknownModel)?;
        let prompt = prompt(&asked, shape)?;
        let max_tokens = asked.max_tokens.unwrap_or(completion::DEFAULT_MAX_TOKENS);
        if !(1..=MOST_TOKENS).contains(&max_tokens) {
            return Err(Reason::BadRequest);
        }
        let deadline_ms = deadline(request, row)?;
        let block_bytes = model.number(Column::BlockBytes);
        let block_bytes = block_bytes.unwrap_or(DEFAULT_BLOCK_BYTES) as usize;
        let root = BlockHash::root(setting.workspace, &asked.model, NO_VERSION);
        let ask = PlacementRequest {
            block_tokens: (block_bytes / BYTES_PER_TOKEN) as u32,
            blocks: root.chain(prompt.as_bytes(), block_bytes),
            caller: asked.user.clone().unwrap_or_default(),
            deadline_ms,
            domain: setting.domain.to_owned(),
            excluded: Vec::new(),
            kind,
            model: asked.model.clone(),
            output_tokens: max_tokens as u32,
            prompt_tokens: prompt.len().div_ceil(BYTES_PER_TOKEN) as u32,
            rank: rank(request, row)?,
            placement_id: PlacementId(rand::random()),
            version: None,
            workspace: setting.workspace.to_owned(),
        };
        Ok(Self {
            ask,
            block_bytes,
            deadline: setting.now + deadline_ms,
            digest: Digest::of(&[setting.workspace.as_bytes(), body]),
            id: request.id.clone(),
            max_tokens,
            prompt,
            request: asked,
            shape,
        })
    }
}

fn deadline(request: &Request, kind: Option<&Row>) -> Result<u64, Reason> {
    if let Some(text) = request.header(header::DEADLINE) {
        let millis: u64 = text.parse().map_err(|_| Reason::BadRequest)?;
        if !(1..=LONGEST_DEADLINE_MS).contains(&millis) {
            return Err(Reason::BadRequest);
        }
        return Ok(millis);
    }
    let cell = kind.and_then(|row| row.number(Column::Deadline));
    Ok(cell.unwrap_or(DEFAULT_DEADLINE.as_millis() as u64))
}

fn kind_row<'a>(table: &'a Table, kind: &str) -> Result<Option<&'a Row>, Reason> {
    if kind.is_empty() {
        return Ok(None);
    }
    let row = table.get(Sheet::Kinds, kind).ok_or(Reason::BadRequest)?;
    Ok(Some(row))
}

fn prompt(request: &completion::Request, shape: Shape) -> Result<String, Reason> {
    let fits = match shape {
        Shape::Chat => !request.messages.is_empty() && request.prompt.is_none(),
        Shape::Plain => request.messages.is_empty() && request.prompt.is_some(),
    };
    fits.then(|| request.text()).ok_or(Reason::BadRequest)
}

fn rank(request: &Request, kind: Option<&Row>) -> Result<Rank, Reason> {
    let cell = kind.and_then(|row| row.text(Column::Rank));
    match cell.or(request.header(header::RANK)) {
        None => Ok(Rank::Urgent),
        Some(text) => text.parse().map_err(|_| Reason::BadRequest),
    }
}
