//! Requests that share nested prefixes, drawn from a seed.

use std::collections::HashMap;
use std::sync::Arc;

use rand::Rng;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use strum::Display;
use strum::EnumString;

use state::rank::Rank;

const FULL_PERCENT: usize = 100;
const WORDS: [&str; 16] = [
    "anchor", "basin", "cove", "drift", "eddy", "fathom", "gauge", "harbour", "inlet", "jetty",
    "keel", "lagoon", "mooring", "narrows", "offshore", "pegboard",
];

/// Names a set of levels and kinds of work.
#[derive(Clone, Copy, Debug, Display, EnumString, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Name {
    /// Reviews a catalogue by aisle and wall; most work is urgent and short.
    Laurentides,
    /// Drafts from a dossier by coast and spot; the shared prefixes are very long.
    Sabaha,
}

/// Describes one level of the shared prefixes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Level {
    /// Gives the length of the level's text, in bytes.
    pub bytes: usize,
    /// Counts the texts of this level below each text of the level above.
    pub fan: u32,
    /// Names the level.
    pub name: &'static str,
}

/// Describes one kind of work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Work {
    /// Bounds the answer, in tokens.
    pub answer_tokens: u64,
    /// Counts the levels that the prompt starts with.
    pub depth: usize,
    /// Asks for the work.
    pub question: &'static str,
    /// Ranks the work.
    pub rank: Rank,
    /// Gives its share of the requests, in percent.
    pub share: u32,
}

const LAURENTIDES_LEVELS: [Level; 3] = [
    Level {
        bytes: 32 << 10,
        fan: 1,
        name: "catalogue",
    },
    Level {
        bytes: 8 << 10,
        fan: 12,
        name: "aisle",
    },
    Level {
        bytes: 2 << 10,
        fan: 8,
        name: "wall",
    },
];
const LAURENTIDES_WORK: [Work; 2] = [
    Work {
        answer_tokens: 400,
        depth: 3,
        question: "Review the wall's layout.",
        rank: Rank::Background,
        share: 25,
    },
    Work {
        answer_tokens: 32,
        depth: 2,
        question: "Write a label blurb.",
        rank: Rank::Urgent,
        share: 75,
    },
];
const SABAHA_LEVELS: [Level; 3] = [
    Level {
        bytes: 64 << 10,
        fan: 1,
        name: "dossier",
    },
    Level {
        bytes: 16 << 10,
        fan: 6,
        name: "coast",
    },
    Level {
        bytes: 4 << 10,
        fan: 20,
        name: "spot",
    },
];
const SABAHA_WORK: [Work; 2] = [
    Work {
        answer_tokens: 300,
        depth: 3,
        question: "Draft the spot's briefing.",
        rank: Rank::Background,
        share: 40,
    },
    Work {
        answer_tokens: 24,
        depth: 3,
        question: "Note currents and access in one line.",
        rank: Rank::Urgent,
        share: 60,
    },
];

impl Name {
    /// Returns the levels, the widest shared first.
    pub fn levels(self) -> &'static [Level] {
        match self {
            Self::Laurentides => &LAURENTIDES_LEVELS,
            Self::Sabaha => &SABAHA_LEVELS,
        }
    }

    /// Returns the kinds of work; their shares sum to 100.
    pub fn work(self) -> &'static [Work] {
        match self {
            Self::Laurentides => &LAURENTIDES_WORK,
            Self::Sabaha => &SABAHA_WORK,
        }
    }
}

/// Holds one drawn request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Draw {
    /// Holds the prompt.
    pub prompt: String,
    /// Describes the work.
    pub work: Work,
    /// Gives the position of the workspace.
    pub workspace: usize,
}

/// Draws requests; the same seed draws the same ones.
#[derive(Debug)]
pub struct Mix {
    drawn: u64,
    name: Name,
    rng: ChaCha8Rng,
    scale_percent: usize,
    texts: HashMap<Place, Arc<str>>,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Place {
    path: Vec<u32>,
    workspace: usize,
}

impl Mix {
    /// Returns a mix whose prompts are scaled to `scale_percent` of their full length.
    pub fn new(name: Name, seed: u64, scale_percent: usize) -> Self {
        Self {
            drawn: 0,
            name,
            rng: ChaCha8Rng::seed_from_u64(seed),
            scale_percent,
            texts: HashMap::new(),
        }
    }

    /// Draws the next request of one of `workspaces` workspaces; the first ones ask for most.
    ///
    /// # Panics
    ///
    /// Panics when `workspaces` is zero.
    pub fn draw(&mut self, workspaces: usize) -> Draw {
        let workspace = harmonic(&mut self.rng, workspaces as u32) as usize;
        let work = self.work();
        let mut place = Place {
            path: Vec::new(),
            workspace,
        };
        let mut prompt = String::new();
        for level in &self.name.levels()[..work.depth] {
            place.path.push(harmonic(&mut self.rng, level.fan));
            prompt.push_str(&self.text(level, &place));
        }
        self.drawn += 1;
        prompt.push_str(&format!("\n{} Request {}.", work.question, self.drawn));
        Draw {
            prompt,
            work,
            workspace,
        }
    }

    /// Draws the time to the next request at `rate` requests a second, in seconds.
    pub fn pause(&mut self, rate: f64) -> f64 {
        let uniform: f64 = self.rng.random();
        -(1.0 - uniform).ln() / rate
    }

    fn work(&mut self) -> Work {
        let mut point = self.rng.random_range(0..FULL_PERCENT as u32);
        for work in self.name.work() {
            if point < work.share {
                return *work;
            }
            point -= work.share;
        }
        self.name.work()[0]
    }

    fn text(&mut self, level: &Level, place: &Place) -> Arc<str> {
        if let Some(text) = self.texts.get(place) {
            return Arc::clone(text);
        }
        let bytes = level.bytes * self.scale_percent / FULL_PERCENT;
        let text: Arc<str> = written(level.name, place, bytes).into();
        self.texts.insert(place.clone(), Arc::clone(&text));
        text
    }
}

fn written(name: &str, place: &Place, bytes: usize) -> String {
    let heading = format!("{name} {:?} of {}:", place.path, place.workspace);
    let mut rng = ChaCha8Rng::from_seed(*blake3::hash(heading.as_bytes()).as_bytes());
    let mut text = heading;
    while text.len() < bytes {
        text.push(' ');
        text.push_str(WORDS[rng.random_range(0..WORDS.len())]);
    }
    text.truncate(bytes.max(1));
    text.push('\n');
    text
}

fn harmonic(rng: &mut impl Rng, count: u32) -> u32 {
    let total = (1..=count).map(|place| 1.0 / f64::from(place)).sum::<f64>();
    let mut point = rng.random::<f64>() * total;
    for place in 1..=count {
        point -= 1.0 / f64::from(place);
        if point < 0.0 {
            return place - 1;
        }
    }
    count - 1
}
