//! Library of the operators' tool `cactusglade`, used by its binary, tests and benches.

pub mod burn;
pub mod caller;
pub mod commands;
pub mod demo;
pub mod experiment;
pub mod explain;
pub mod objects;
pub mod publish;
pub mod refusals;
