//! What every call goes through before its kind matters.

use super::{auth, body, resolve, submit};
use crate::shared::Shared;
use bytes::Bytes;
use http::{Request, request::Parts};
use hyper::body::Incoming;
use poplarswitch_catalog::{Catalog, ClassEntry, Route, WorkspaceKey};
use poplarswitch_objects::Workspace;
use poplarswitch_wire::{ErrorCode, ErrorInfo};
use std::sync::Arc;

/// A call that was admitted, with its workspace and its whole body.
#[derive(Debug)]
pub(super) struct AdmittedCall {
    /// The set that the call is served by.
    pub(super) catalog: Arc<Catalog>,
    /// Its head.
    pub(super) parts: Parts,
    /// Its body.
    pub(super) body: Bytes,
    workspace: WorkspaceKey,
}

impl AdmittedCall {
    /// Admits a call, finds its workspace and reads its body, in this order.
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

    /// Whose call it is.
    pub(super) fn workspace(&self) -> &Workspace {
        &self.catalog.workspaces[self.workspace].workspace
    }

    /// The class that it names or the default, if that allows the route and the body's size.
    pub(super) fn class(&self, default: &str, route: &Route) -> Result<&ClassEntry, ErrorCode> {
        let class = resolve::class(&self.catalog, &self.parts.headers, default, route)?;
        if self.body.len() > class.class.max_input_bytes as usize {
            return Err(ErrorCode::BodyTooLarge);
        }
        Ok(class)
    }
}
