//! Names of the headers that cactusglade reads and writes.

/// Identifier of one attempt, which the upstream must echo.
pub const ATTEMPT: &str = "x-attempt-id";
/// Idempotency key of a request that is not idempotent.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Name of the organisation, sent to upstreams.
pub const ORGANISATION: &str = "x-organisation";
/// Whether a refused request took effect.
pub const RAN: &str = "x-ran";
/// Identifier of one request, passed from the caller to the upstream and back.
pub const REQUEST: &str = "x-request-id";
/// Path at which any daemon can resume a stream.
pub const RESUME: &str = "x-resume";
/// Name of the model version that answers.
pub const VERSION: &str = "x-model-version";
