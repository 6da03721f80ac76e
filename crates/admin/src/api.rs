//! The resources of the API and how each handles a request.

use std::sync::Arc;

use tideroute_tenant_store::{Precondition, Revision, Tenant, TenantStore};
use tideroute_wire::tenant::{TenantStats, Watcher};
use tideroute_wire::{Malformed, Micros};

use crate::administrator::{authenticate, Administrator, Role};
use crate::api_error::{ApiError, ProblemKind};
use crate::pagination::{page_limit, Page};
use crate::precondition::{entity_tag, parse_precondition};
use crate::request::Request;
use crate::response::Response;
use crate::tenant_statistics::TenantStatistics;

/// The administration API over a tenant store.
pub struct Api {
    store: Arc<TenantStore>,
    administrators: Vec<Administrator>,
    statistics: TenantStatistics,
}

/// The result of handling a request.
pub struct Handled {
    /// The response.
    pub response: Response,
    /// The revision that the request made, which is on the disk; `None` if the request changed nothing.
    pub change: Option<Revision>,
}

impl From<Response> for Handled {
    fn from(response: Response) -> Handled {
        Handled { response, change: None }
    }
}

impl Api {
    /// Creates an API that only these administrators may use.
    pub fn new(store: Arc<TenantStore>, administrators: Vec<Administrator>) -> Api {
        Api { store, administrators, statistics: TenantStatistics::default() }
    }

    /// Authenticates, routes and executes a request. Errors become problem responses.
    pub fn handle(&self, now: Micros, request: &Request) -> Handled {
        self.route(now, request).unwrap_or_else(|error| error.to_response().into())
    }

    /// Deletes the statistics of a removed tenant.
    pub fn remove_statistics(&mut self, name: &str) {
        self.statistics.remove(name);
    }

    fn route(&self, now: Micros, request: &Request) -> Result<Handled, ApiError> {
        let path: Vec<&str> = request.path.iter().map(String::as_str).collect();
        if path == ["v1", "openapi.json"] && request.method == "GET" {
            return Ok(openapi_document().into());
        }
        let administrator = authenticate(&self.administrators, request)?;
        match path.as_slice() {
            ["v1", "tenants"] => self.list(request),
            ["v1", "tenants", name] => self.route_tenant(now, administrator, name, request),
            ["v1", "tenants", name, "history"] => self.history(name, request),
            ["v1", "figures"] => self.statistics(request),
            ["v1", "changes"] => self.changes(request),
            ["v1", "snapshot"] => self.snapshot(administrator, request),
            _ => {
                let detail = format!("there is no /{}", path.join("/"));
                Err(ApiError::new(404, ProblemKind::Address, detail))
            }
        }
    }

    fn route_tenant(
        &self,
        now: Micros,
        administrator: &Administrator,
        name: &str,
        request: &Request,
    ) -> Result<Handled, ApiError> {
        match request.method.as_str() {
            "GET" => {
                let revision = self.store.get(name)?.ok_or_else(ApiError::not_found)?;
                Ok(revision_response(200, &revision).into())
            }
            "PUT" => {
                administrator.require(Role::Operate)?;
                self.put(now, &administrator.name, name, request)
            }
            "DELETE" => {
                administrator.require(Role::Operate)?;
                let precondition = parse_precondition(request)?;
                let removed = self.store.change(now, &administrator.name, name, precondition, None)?;
                let response = Response { status: 204, ..Response::default() };
                Ok(Handled { response, change: Some(removed) })
            }
            _ => Err(method_not_allowed(request, "GET, PUT, DELETE")),
        }
    }

    fn put(&self, now: Micros, by: &str, name: &str, request: &Request) -> Result<Handled, ApiError> {
        let precondition = parse_precondition(request)?;
        let tenant = parse_tenant(request)?;
        let revision = self.store.change(now, by, name, precondition, Some(tenant))?;
        let status = if precondition == Precondition::Absent { 201 } else { 200 };
        Ok(Handled { response: revision_response(status, &revision), change: Some(revision) })
    }

    fn list(&self, request: &Request) -> Result<Handled, ApiError> {
        require_get(request)?;
        let after = request.query_parameter("after").unwrap_or_default();
        let limit = page_limit(request)?;
        let entries = self.store.list(after, limit)?;
        let page = Page::new(entries, limit, |last| last.name.clone());
        Ok(Response::json(200, &page).into())
    }

    fn history(&self, name: &str, request: &Request) -> Result<Handled, ApiError> {
        require_get(request)?;
        let before = request.query_number("before")?.unwrap_or(u64::MAX);
        let limit = page_limit(request)?;
        let entries = self.store.history(name, before, limit)?;
        if entries.is_empty() && before == u64::MAX {
            return Err(ApiError::not_found());
        }
        let page = Page::new(entries, limit, |last| last.version.to_string());
        Ok(Response::json(200, &page).into())
    }

    fn changes(&self, request: &Request) -> Result<Handled, ApiError> {
        require_get(request)?;
        let after = request.query_number("after")?.unwrap_or(0);
        let limit = page_limit(request)?;
        let entries = self.store.changes(after, limit)?;
        let page = Page::new(entries, limit, |last| last.version.to_string());
        Ok(Response::json(200, &page).into())
    }

    fn statistics(&self, request: &Request) -> Result<Handled, ApiError> {
        require_get(request)?;
        let after = request.query_parameter("after").unwrap_or_default();
        let limit = page_limit(request)?;
        let entries = self.statistics.totals(after, limit);
        let next = entries.last().filter(|_| entries.len() == limit).map(|last| last.name);
        Ok(Response::json(200, &serde_json::json!({"entries": entries, "next": next})).into())
    }

    fn snapshot(&self, administrator: &Administrator, request: &Request) -> Result<Handled, ApiError> {
        require_get(request)?;
        administrator.require(Role::Own)?;
        let mut body = vec![];
        if let Err(error) = self.store.snapshot(&mut body) {
            return Err(ApiError::new(503, ProblemKind::Store, error.to_string()));
        }
        let response = Response { status: 200, body, headers: vec![] };
        Ok(response.with_header("content-type", "application/zstd").into())
    }
}

impl Watcher for Api {
    fn stats(&mut self, core: &str, name: &str, stats: TenantStats) -> Result<(), Malformed> {
        // A core may still report statistics of a tenant after the tenant was removed.
        let tenant_exists = self.store.get(name).is_ok_and(|revision| revision.is_some());
        if tenant_exists {
            self.statistics.record(core, name, stats);
        }
        Ok(())
    }
}

fn openapi_document() -> Response {
    let body = include_bytes!("openapi.json").to_vec();
    Response { status: 200, body, headers: vec![] }.with_header("content-type", "application/json")
}

fn revision_response(status: u16, revision: &Revision) -> Response {
    Response::json(status, revision).with_header("etag", entity_tag(revision))
}

fn require_get(request: &Request) -> Result<(), ApiError> {
    if request.method == "GET" {
        Ok(())
    } else {
        Err(method_not_allowed(request, "GET"))
    }
}

fn method_not_allowed(request: &Request, allowed: &str) -> ApiError {
    let detail = format!("{} is not done here", request.method);
    ApiError::new(405, ProblemKind::Method, detail).with_header("allow", allowed)
}

/// Parses the tenant in the body of a request.
fn parse_tenant(request: &Request) -> Result<Tenant, ApiError> {
    let content_type = request.header("content-type").unwrap_or_default();
    if content_type.split(';').next().map(str::trim) != Some("application/json") {
        return Err(ApiError::new(415, ProblemKind::ContentType, "the body must be application/json"));
    }
    // serde_json would accept an array in place of an object and assign its elements to the fields in order.
    if request.body.trim_ascii_start().first() == Some(&b'[') {
        return Err(ApiError::new(422, ProblemKind::Body, "the body must be an object"));
    }
    serde_json::from_slice(&request.body).map_err(|error| {
        let status = if error.is_data() { 422 } else { 400 };
        let detail = format!("line {}, column {}: {error}", error.line(), error.column());
        ApiError::new(status, ProblemKind::Body, detail)
    })
}
