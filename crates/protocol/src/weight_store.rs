//! The HTTP contract between engines and the weight store; the router itself does not use it.

/// Prefix of the path of weights; the model, a slash and the version follow.
pub const WEIGHTS_PATH: &str = "/v1/weights/";
