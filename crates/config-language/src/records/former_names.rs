//! Names of the records before they had the field's terms, for callers that still use them. One is to be removed with
//! its last caller.
#![allow(missing_docs, reason = "each is documented under its present name")]

use super::{
    AdminConfig, Discovery, DiscoveryDelay, Expectations, LoadBurst, MembershipConfig, RandomFaults,
    RelayFault, RelayListener, RequestClass, Scenario, ScenarioFault, ScenarioLoad, SchedulerSettings,
    SkewedLoad, TenantKey, TokenRange, WorkerCapacity, WorkerFault, WorkerGroup, WorkerKind,
};

pub type Able = WorkerCapacity;
pub type Admin = AdminConfig;
pub type Burst = LoadBurst;
pub type Day = Scenario;
pub type DayLoad = ScenarioLoad;
pub type Door = RelayListener;
pub type Drawn = RandomFaults;
pub type Expect = Expectations;
pub type Fault = RelayFault;
pub type Fleet = MembershipConfig;
pub type Group = WorkerGroup;
pub type Key = TenantKey;
pub type Kind = WorkerKind;
pub type Late = DiscoveryDelay;
pub type List = Discovery;
pub type Range = TokenRange;
pub type Step = WorkerFault;
pub type Terms = SchedulerSettings;
pub type Track = RequestClass;
pub type Trouble = ScenarioFault;
pub type Uneven = SkewedLoad;
