//! What an engine serves, and the actions that change it.

/// What an engine serves, as it last reported.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EngineState {
    /// Name of the adapter, if any.
    pub adapter: Option<String>,
    /// Weights version that is being loaded, if any.
    pub loading: Option<String>,
    /// Name of the model.
    pub model: String,
    /// Role of the engine.
    pub role: String,
    /// Weights version.
    pub version: String,
}

/// A change that an engine is ordered to make.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Loads weights, which empties the cache.
    Load {
        /// Name of the adapter, if any.
        adapter: Option<String>,
        /// Name of the model.
        model: String,
        /// Weights version.
        version: String,
    },
    /// Changes the role to the given one.
    Role(String),
}
