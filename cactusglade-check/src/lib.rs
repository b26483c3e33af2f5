//! Random tests whose verdict is the same in each run; see `README.md` on the seed.

pub mod check;
