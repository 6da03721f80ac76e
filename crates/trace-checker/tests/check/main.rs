//! Runs the checker on short captures: a clean capture passes, each violation is reported with its rule and request,
//! and no event can be removed from a clean capture without a violation.

mod capture_builder;
mod capture_gaps;
mod config_json;
mod rule_violations;
