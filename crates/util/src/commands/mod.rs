//! The subcommands, one module each.

pub(crate) mod apply;
pub(crate) mod bench;
pub(crate) mod check;
pub(crate) mod completions;
pub(crate) mod demo;
pub(crate) mod diff;
pub(crate) mod drain;
pub(crate) mod get;
pub(crate) mod journal;
pub(crate) mod key;
pub(crate) mod load;
pub(crate) mod relay_status;
pub(crate) mod status;
pub(crate) mod timeline;
