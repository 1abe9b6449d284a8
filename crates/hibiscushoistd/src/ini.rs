//! Reads one INI file key by key and refuses whatever nobody asked for.

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;
use std::path::PathBuf;

use ini::Ini;
use thiserror::Error;

/// Stands for a value that must not be repeated.
const HIDDEN: &str = "(hidden)";
/// Lists the keys whose values must not be repeated, not even wrong ones.
const SECRETS: [&str; 2] = ["key", "previous_key"];

/// Tells what is wrong with a settings file.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum Error {
    /// Reports two settings that do not go together.
    #[error("{file}: [{section}] {key}: {reason}", file = file.display())]
    Clash {
        /// Names the file.
        file: PathBuf,
        /// Names the key.
        key: String,
        /// Says what clashes and what would be accepted.
        reason: String,
        /// Names the section.
        section: String,
    },
    /// Reports a key that stands twice.
    #[error("{file}: [{section}] {key}: stands twice; keep one", file = file.display())]
    Duplicate {
        /// Names the file.
        file: PathBuf,
        /// Names the key.
        key: String,
        /// Names the section.
        section: String,
    },
    /// Reports a section that stands twice.
    #[error("{file}: [{section}]: stands twice; join them", file = file.display())]
    DuplicateSection {
        /// Names the file.
        file: PathBuf,
        /// Names the section.
        section: String,
    },
    /// Reports a required key that is missing.
    #[error("{file}: [{section}] {key}: missing; it takes {accepted}", file = file.display())]
    Missing {
        /// Says what would be accepted.
        accepted: String,
        /// Names the file.
        file: PathBuf,
        /// Names the key.
        key: String,
        /// Names the section.
        section: String,
    },
    /// Reports a file that is no INI file.
    #[error("{file}:{line}: not INI: {reason}", file = file.display())]
    Syntax {
        /// Names the file.
        file: PathBuf,
        /// Numbers the line, from 1.
        line: usize,
        /// Says what the parser met.
        reason: String,
    },
    /// Reports a key that no setting has.
    #[error("{file}: [{section}] {key}: unknown; accepted are {accepted}", file = file.display())]
    UnknownKey {
        /// Lists the keys of the section.
        accepted: String,
        /// Names the file.
        file: PathBuf,
        /// Names the key.
        key: String,
        /// Names the section.
        section: String,
    },
    /// Reports a section that no setting has.
    #[error("{file}: [{section}]: unknown; accepted are {accepted}", file = file.display())]
    UnknownSection {
        /// Lists the sections.
        accepted: String,
        /// Names the file.
        file: PathBuf,
        /// Names the section.
        section: String,
    },
    /// Reports a file that cannot be read.
    #[error("{file}: cannot be read: {reason}", file = file.display())]
    Unreadable {
        /// Names the file.
        file: PathBuf,
        /// Says why.
        reason: String,
    },
    /// Reports a value that its key does not take.
    #[error("{file}: [{section}] {key}: `{value}` is not {accepted}", file = file.display())]
    Value {
        /// Says what would be accepted.
        accepted: String,
        /// Names the file.
        file: PathBuf,
        /// Names the key.
        key: String,
        /// Names the section.
        section: String,
        /// Repeats the value.
        value: String,
    },
}

/// Names a section and the keys that it takes.
#[derive(Clone, Copy, Debug)]
pub struct Section {
    /// Lists the keys.
    pub keys: &'static [&'static str],
    /// Names the section.
    pub name: &'static str,
}

/// Holds a file whose sections and keys are all known.
#[derive(Debug)]
pub struct File {
    ini: Ini,
    path: PathBuf,
}

impl File {
    /// Reads the file at `path` and checks it against `sections`.
    ///
    /// # Errors
    ///
    /// Returns the first fault found, with file, section and key.
    pub fn read(path: impl AsRef<Path>, sections: &[Section]) -> Result<Self, Error> {
        let path = path.as_ref().to_owned();
        let text = fs::read_to_string(&path).map_err(|error| Error::Unreadable {
            file: path.clone(),
            reason: error.to_string(),
        })?;
        Self::parse(path, text, sections)
    }

    /// Reads `text`, as if it stood in the file at `path`, and checks it against `sections`.
    ///
    /// # Errors
    ///
    /// Returns the first fault found, with file, section and key.
    pub fn parse(
        path: impl Into<PathBuf>,
        text: impl AsRef<str>,
        sections: &[Section],
    ) -> Result<Self, Error> {
        let path = path.into();
        let ini = Ini::load_from_str_noescape(text.as_ref()).map_err(|error| Error::Syntax {
            file: path.clone(),
            line: error.line + 1,
            reason: error.msg.to_string(),
        })?;
        let file = Self { ini, path };
        file.check(sections)?;
        Ok(file)
    }

    /// Returns the value of a key, with `None` for one that is absent.
    pub fn get(&self, section: &str, key: &str) -> Option<&str> {
        self.ini.section(Some(section))?.get(key).map(str::trim)
    }

    /// Returns whether the file has the section.
    pub fn has(&self, section: &str) -> bool {
        self.ini.section(Some(section)).is_some()
    }

    /// Returns the value of a key read by `parse`, or `default` where the key is absent.
    ///
    /// # Errors
    ///
    /// Returns an error when `parse` takes no such value.
    pub fn optional<T>(
        &self,
        section: &str,
        key: &str,
        default: T,
        accepted: &str,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Result<T, Error> {
        match self.get(section, key) {
            None => Ok(default),
            Some(value) => parse(value).ok_or_else(|| self.value(section, key, accepted, value)),
        }
    }

    /// Returns the value of a key read by `parse`.
    ///
    /// # Errors
    ///
    /// Returns an error when the key is absent or `parse` takes no such value.
    pub fn required<T>(
        &self,
        section: &str,
        key: &str,
        accepted: &str,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Result<T, Error> {
        let value = self.get(section, key).ok_or_else(|| Error::Missing {
            accepted: accepted.to_owned(),
            file: self.path.clone(),
            key: key.to_owned(),
            section: section.to_owned(),
        })?;
        parse(value).ok_or_else(|| self.value(section, key, accepted, value))
    }

    /// Returns an error about a key that does not go with others.
    pub fn clash(&self, section: &str, key: &str, reason: impl Into<String>) -> Error {
        Error::Clash {
            file: self.path.clone(),
            key: key.to_owned(),
            reason: reason.into(),
            section: section.to_owned(),
        }
    }

    fn check(&self, sections: &[Section]) -> Result<(), Error> {
        let mut seen = BTreeSet::new();
        for (name, properties) in self.ini.iter() {
            let Some(name) = name else {
                if let Some((key, _)) = properties.iter().next() {
                    return Err(self.unknown_key("", key, ""));
                }
                continue;
            };
            let section = sections
                .iter()
                .find(|section| section.name == name)
                .ok_or_else(|| self.unknown_section(name, sections))?;
            if !seen.insert(name) {
                return Err(Error::DuplicateSection {
                    file: self.path.clone(),
                    section: name.to_owned(),
                });
            }
            self.check_keys(section, properties)?;
        }
        Ok(())
    }

    fn check_keys(&self, section: &Section, properties: &ini::Properties) -> Result<(), Error> {
        let mut seen = BTreeSet::new();
        for (key, _) in properties.iter() {
            if !section.keys.contains(&key) {
                return Err(self.unknown_key(section.name, key, section.keys.join(", ")));
            }
            if !seen.insert(key) {
                return Err(Error::Duplicate {
                    file: self.path.clone(),
                    key: key.to_owned(),
                    section: section.name.to_owned(),
                });
            }
        }
        Ok(())
    }

    fn unknown_key(&self, section: &str, key: &str, accepted: impl Into<String>) -> Error {
        Error::UnknownKey {
            accepted: accepted.into(),
            file: self.path.clone(),
            key: key.to_owned(),
            section: section.to_owned(),
        }
    }

    fn unknown_section(&self, section: &str, sections: &[Section]) -> Error {
        let names = sections.iter().map(|section| section.name);
        Error::UnknownSection {
            accepted: names.collect::<Vec<_>>().join(", "),
            file: self.path.clone(),
            section: section.to_owned(),
        }
    }

    fn value(&self, section: &str, key: &str, accepted: &str, value: &str) -> Error {
        let shown = if SECRETS.contains(&key) {
            HIDDEN
        } else {
            value
        };
        Error::Value {
            accepted: accepted.to_owned(),
            file: self.path.clone(),
            key: key.to_owned(),
            section: section.to_owned(),
            value: shown.to_owned(),
        }
    }
}
