//! The admission queue of each backend server, kept by the server's home instance.
//!
//! [`admission`] holds the decisions of one server and is built from [`queue`], [`limit`],
//! [`health`], [`tenure`] and others without input or output; [`task`] runs it, [`homes`] starts
//! and ends the tasks as the fleet changes, and [`service`] and [`client`] are the two ends of the
//! calls between instances.

pub mod admission;
pub mod client;
pub mod fair;
pub mod headroom;
pub mod health;
pub mod homes;
pub mod limit;
pub mod limits;
pub mod limits_task;
pub mod occupancy;
pub mod pace;
pub mod pick;
pub mod poll;
pub mod queue;
pub mod report;
pub mod service;
pub mod task;
pub mod tenure;

pub use client::{AdmissionClient, AdmitError, Permit, RequestOutcome, RequestStats, SlotRequest};
pub use homes::{HomeQueues, start};
pub use limits::OverLimit;
pub use limits_task::{OrganisationLimits, RunningGuard};
pub use pick::{Candidate, PickCriteria, Picker};
pub use service::service;
