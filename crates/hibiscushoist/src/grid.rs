//! Columns of text, lined up.

/// Collects lines of words and lines up their columns.
#[derive(Clone, Debug, Default)]
pub struct Grid {
    lines: Vec<Vec<String>>,
}

impl Grid {
    /// Returns a grid with a line of headings.
    pub fn new(headings: &[&str]) -> Self {
        let mut grid = Self::default();
        grid.push(headings.iter().map(|word| (*word).to_owned()));
        grid
    }

    /// Adds a line.
    pub fn push(&mut self, words: impl IntoIterator<Item = String>) {
        self.lines.push(words.into_iter().collect());
    }

    /// Returns the lines, each column as wide as its longest word.
    pub fn text(&self) -> String {
        let widths = self.widths();
        let mut text = String::new();
        for line in &self.lines {
            let mut padded = String::new();
            for (word, width) in line.iter().zip(&widths) {
                padded.push_str(&format!("{word:<width$}  "));
            }
            text.push_str(padded.trim_end());
            text.push('\n');
        }
        text
    }

    fn widths(&self) -> Vec<usize> {
        let columns = self.lines.iter().map(Vec::len).max().unwrap_or(0);
        let width = |column: usize| {
            let words = self.lines.iter().filter_map(|line| line.get(column));
            words.map(|word| word.chars().count()).max().unwrap_or(0)
        };
        (0..columns).map(width).collect()
    }
}

/// Returns `value`, or a dash when there is none.
pub fn or_dash(value: Option<impl ToString>) -> String {
    value.map_or_else(|| "-".to_owned(), |value| value.to_string())
}
