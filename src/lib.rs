#![doc = include_str!("../README.md")]

pub mod api;
pub mod balancer;
mod model;
mod server_list;
pub mod settings;
pub mod subscription;
mod subset;

pub use balancer::Balancer;

#[cfg(test)]
#[path = "../tests/unit/incremental.rs"]
mod incremental;
