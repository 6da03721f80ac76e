//! The checker on short captures: a clean one passes, a violation is found by rule and request, and nothing can be removed
//! from a clean capture without a violation.

mod capture_builder;
mod capture_gaps;
mod config_json;
mod rule_violations;
