//! Names of the records before they had the field's terms, for callers that still use them. One is to be removed with
//! its last caller.
#![allow(missing_docs, reason = "each is documented under its present name")]

pub type Able = super::worker::WorkerCapacity;
pub type Admin = super::router::AdminConfig;
pub type Burst = super::load::LoadBurst;
pub type Day = super::scenario::Scenario;
pub type DayLoad = super::scenario::ScenarioLoad;
pub type Door = super::relay::RelayListener;
pub type Drawn = super::fault::RandomFaults;
pub type Expect = super::scenario::Expectations;
pub type Fault = super::relay::RelayFault;
pub type Fleet = super::router::MembershipConfig;
pub type Group = super::scenario::WorkerGroup;
pub type Key = super::load::TenantKey;
pub type Kind = super::router::WorkerKind;
pub type Late = super::discovery::DiscoveryDelay;
pub type List = super::discovery::Discovery;
pub type Range = super::load::TokenRange;
pub type Step = super::worker::WorkerFault;
pub type Terms = super::router::SchedulerSettings;
pub type Track = super::router::RequestClass;
pub type Trouble = super::fault::ScenarioFault;
pub type Uneven = super::load::SkewedLoad;
