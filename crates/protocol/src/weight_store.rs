//! The HTTP contract of the weight store, which engines speak and the router does not.

/// Starts the path of weights; the model, a slash and the version follow.
pub const WEIGHTS_PATH: &str = "/v1/weights/";
