//! Processing common to all calls: admission, authentication and reading of the body.

use super::{auth, body, resolve, submit};
use crate::shared::Shared;
use bytes::Bytes;
use http::{Request, request::Parts};
use hyper::body::Incoming;
use poplarswitch_catalog::{Catalog, ClassEntry, Route, WorkspaceKey};
use poplarswitch_objects::Workspace;
use poplarswitch_wire::{ErrorCode, ErrorInfo};
use std::sync::Arc;

/// An admitted call with its workspace and its complete body.
#[derive(Debug)]
pub(super) struct AdmittedCall {
    /// Catalog of the set by which the call is processed.
    pub(super) catalog: Arc<Catalog>,
    /// Head of the request.
    pub(super) parts: Parts,
    /// Body of the request.
    pub(super) body: Bytes,
    workspace: WorkspaceKey,
}

impl AdmittedCall {
    /// Admits a call, authenticates it and reads its body, in this order.
    pub(super) async fn receive(
        shared: &Shared,
        request: Request<Incoming>,
    ) -> Result<Self, ErrorInfo> {
        let catalog = submit::admit(shared)?;
        let (parts, incoming) = request.into_parts();
        let to_error = |code| shared.error(code);
        let workspace = auth::workspace(&catalog, &parts.headers).map_err(to_error)?;
        let body = body::read(shared, incoming).await.map_err(to_error)?;
        Ok(Self {
            catalog,
            parts,
            body,
            workspace,
        })
    }

    /// Workspace that made the call.
    pub(super) fn workspace(&self) -> &Workspace {
        &self.catalog.workspaces[self.workspace].workspace
    }

    /// Class that the call names, or the default; fails if the class is unknown or does not allow the
    /// route or the size of the body.
    pub(super) fn class(&self, default: &str, route: &Route) -> Result<&ClassEntry, ErrorCode> {
        let class = resolve::class(&self.catalog, &self.parts.headers, default, route)?;
        if self.body.len() > class.class.max_input_bytes as usize {
            return Err(ErrorCode::BodyTooLarge);
        }
        Ok(class)
    }
}
