//! Sizes in bytes by which the replicated state counts what it holds.
//!
//! Members decide by them what has room, so they are the same on all hosts and in all releases that read
//! the same log, whatever the compiler makes of the types. None is below the size of its type.

/// A job, without its account's name, request and occurrences.
pub const JOB: usize = 176;
/// A request, without its text and steps.
pub const REQUEST: usize = 88;
/// The specification of a step, without its text and dependencies.
pub const STEP_SPEC: usize = 192;
/// One dependency of a step.
pub const DEPENDENCY: usize = 2;
/// An occurrence, without its steps.
pub const OCCURRENCE: usize = 32;
/// The state of a step, without what its tasks keep.
pub const STEP: usize = 80;
/// A range of done tasks.
pub const RANGE: usize = 8;
/// A task with a history, without its checkpoint.
pub const TASK: usize = 56;
/// A cancelled id.
pub const WITHDRAWN_ID: usize = 32;
/// What a caller's cancelled ids take, without its name and the ids.
pub const WITHDRAWN_HOLDER: usize = 56;
