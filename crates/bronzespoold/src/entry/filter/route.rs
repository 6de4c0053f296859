//! Resolves the service and kind in a path against the configuration in force.

use {
    crate::{
        entry::{
            filter::{Filter, Result},
            state::State,
        },
        http::headers,
    },
    bronzespool::{
        core::{Code, Kind, KindSpec, Mode, Refusal, Service, ServiceSpec, Time},
        flow::view::View,
    },
    hyper::{Request, body::Incoming},
    std::rc::Rc,
};

/// A request as it arrived.
pub(in crate::entry) struct RawRequest {
    pub(in crate::entry) id: String,
    pub(in crate::entry) arrived: Time,
    pub(in crate::entry) service: String,
    pub(in crate::entry) kind: String,
    pub(in crate::entry) request: Request<Incoming>,
}

/// A request whose kind is known.
pub(in crate::entry) struct RoutedRequest {
    pub(in crate::entry) raw: RawRequest,
    pub(in crate::entry) view: Rc<View>,
    pub(in crate::entry) service: Service,
    pub(in crate::entry) kind: Kind,
}

impl RoutedRequest {
    /// The service's declaration. The request holds its view, so the service cannot have been
    /// removed from it.
    pub(in crate::entry) fn service_spec(&self) -> Result<&ServiceSpec> {
        self.view.config.services.get(&self.service).ok_or_else(|| Code::UnknownService.into())
    }

    /// The kind's declaration.
    pub(in crate::entry) fn spec(&self) -> Result<&KindSpec> {
        self.view.config.kind(&self.service, &self.kind).ok_or_else(|| Code::UnknownKind.into())
    }
}

/// Filter that resolves the service and the kind.
pub(in crate::entry) struct RouteFilter(pub(in crate::entry) Rc<State>);

impl Filter<RawRequest> for RouteFilter {
    type Output = RoutedRequest;

    async fn apply(&self, raw: RawRequest) -> Result<RoutedRequest> {
        let view = self.0.view();
        if !self.0.is_open() {
            return Err(self.unavailable(&raw, &view));
        }
        let service = Service::try_from(raw.service.as_str())
            .map_err(|e| unknown(Code::UnknownService, &raw.service, &e))?;
        if !view.config.services.contains_key(&service) {
            let message = format!("service {service} is not in revision {}", view.config.revision);
            return Err(Refusal::new(Code::UnknownService, message));
        }
        let kind = Kind::try_from(raw.kind.as_str())
            .map_err(|e| unknown(Code::UnknownKind, &raw.kind, &e))?;
        if view.config.kind(&service, &kind).is_none() {
            let message = format!("service {service} has no kind {kind}");
            return Err(Refusal::new(Code::UnknownKind, message));
        }
        Ok(RoutedRequest { raw, view, service, kind })
    }
}

impl RouteFilter {
    /// Refusal by an entry that accepts no work. The entry cannot look up an earlier request with
    /// the same key, so it does not claim that a protected request or a job has not run.
    fn unavailable(&self, raw: &RawRequest, view: &View) -> Refusal {
        let names = (Service::try_from(raw.service.as_str()), Kind::try_from(raw.kind.as_str()));
        let spec = match &names {
            (Ok(service), Ok(kind)) => view.config.kind(service, kind),
            _ => None,
        };
        let has_key = raw.request.headers().contains_key(headers::KEY);
        let code = match self.0.stopping.get() {
            _ if has_key && spec.is_none_or(|s| s.protected || s.mode == Mode::Job) => {
                Code::KeyUnsettled
            }
            true => Code::Stopping,
            false => Code::NoSession,
        };
        Refusal::from(code).retry_after(super::caller::RETRY_AFTER)
    }
}

fn unknown(code: Code, text: &str, error: &bronzespool::core::name::Error) -> Refusal {
    Refusal::new(code, format!("{text:?}: {error}"))
}
