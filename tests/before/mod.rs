//! The module before its books were kept as events come.

pub mod choice;
