//! What the operators' tool is made of, for its binary and for tests.

pub mod burn;
pub mod caller;
pub mod commands;
pub mod demo;
pub mod explain;
pub mod objects;
pub mod publish;
