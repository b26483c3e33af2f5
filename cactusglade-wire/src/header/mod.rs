//! Names of the headers that cactusglade reads and writes.

/// Names one attempt; an upstream must echo it.
pub const ATTEMPT: &str = "x-attempt-id";
/// Key by which a caller repeats a non-idempotent request.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Name of the organisation, towards upstreams.
pub const ORGANISATION: &str = "x-organisation";
/// Whether a refused request ran.
pub const RAN: &str = "x-ran";
/// Names one request from the caller to the upstream and back.
pub const REQUEST: &str = "x-request-id";
/// Path at which a stream can be resumed through any daemon.
pub const RESUME: &str = "x-resume";
/// Name of the version that answers.
pub const VERSION: &str = "x-model-version";
