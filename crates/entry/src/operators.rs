//! Handles operators' requests: intents, plans, confirmations, status and the burn report.

use std::{sync, time};

use gotham::helpers::http::Body;
use hyper::{Response, StatusCode, header};
use indexmap::IndexMap;
use pimentohook_core::{clock::Clock as _, id, intent, report};
use pimentohook_platform::{objects, weights};
use pimentohook_runtime::server;
use pimentohook_wire::public;
use rand::RngExt as _;
use snafu::{IntoError as _, ResultExt, Snafu};
use subtle::ConstantTimeEq as _;

use crate::{
    app::{self, lock},
    configuration, peers,
};

const BODY_MAX_BYTES: usize = 256 << 10;
const ACTIVATION_ESTIMATE: time::Duration = time::Duration::from_secs(1);
const CONFIRM_ATTEMPTS_MAX: usize = 4;
const SERVER_ERROR_STATUS_MIN: u16 = 500;
const STATUS_CONFIRMATIONS_MAX: usize = 20;

/// An operator's request failed.
#[derive(Debug, Snafu)]
pub enum OperatorError {
    /// The token belongs to no operator.
    #[snafu(display("an operator's token is needed: send `Authorization: Bearer TOKEN`"))]
    Unauthorised,
    /// The body can't be read.
    #[snafu(display("{source}"))]
    Body {
        /// The underlying error.
        source: server::BodyError,
    },
    /// The intent can't be planned.
    #[snafu(display("{source}"))]
    Intent {
        /// The underlying error.
        source: intent::IntentError,
    },
    /// The version's manifest could not be read from the weight store.
    #[snafu(display("{source}; check the version's name, or try again"))]
    Store {
        /// The underlying error.
        source: weights::StoreError,
    },
    /// A call to the platform failed.
    #[snafu(display("{source}; {}", platform_consequence(source, *may_be_in_force)))]
    Platform {
        /// The underlying error.
        source: objects::ObjectError,
        /// Whether a write of the change may have taken effect.
        may_be_in_force: bool,
    },
    /// The platform holds no configuration yet.
    #[snafu(display("the platform holds no configuration; see docs/OPERATORS.md, `First start`"))]
    NoConfig,
    /// The configuration has changed since the plan was computed.
    #[snafu(display("{message}"))]
    Conflict {
        /// What happened.
        message: String,
        /// A new plan for the same intent, if there is one.
        fresh_plan: Option<Box<intent::Plan>>,
    },
}

/// Returns what a failed call to the platform means for the operator's change.
const fn platform_consequence(
    source: &objects::ObjectError,
    may_be_in_force: bool,
) -> &'static str {
    if may_be_in_force {
        return "the change may be in force; confirming again is safe and shows whether it is";
    }
    match source {
        objects::ObjectError::Unreachable { .. } => {
            "nothing is accepted until it does, what is in force stays in force; confirming again \
             later is safe"
        }
        objects::ObjectError::Conflict { .. } => {
            "other changes were faster, and this one is not in force; confirming again is safe"
        }
        objects::ObjectError::Refused { .. } | objects::ObjectError::Malformed { .. } => {
            "nothing was changed, what is in force stays in force; confirming again later is safe"
        }
    }
}

/// Returns whether a write that failed with this error may have taken effect.
const fn may_have_been_written(error: &objects::ObjectError) -> bool {
    match error {
        objects::ObjectError::Unreachable { source } => !source.is_unsent(),
        objects::ObjectError::Refused { status } => status.as_u16() >= SERVER_ERROR_STATUS_MIN,
        objects::ObjectError::Conflict { .. } => false,
        objects::ObjectError::Malformed { .. } => true,
    }
}

impl OperatorError {
    /// Converts the error into a response.
    #[must_use]
    pub fn into_response(self) -> Response<Body> {
        let error = self.to_string();
        let status = match &self {
            Self::Unauthorised => StatusCode::UNAUTHORIZED,
            Self::Body { source } => source.status(),
            Self::Intent { .. } => StatusCode::UNPROCESSABLE_ENTITY,
            Self::Store { .. } => StatusCode::BAD_GATEWAY,
            Self::Platform { .. } | Self::NoConfig => StatusCode::SERVICE_UNAVAILABLE,
            Self::Conflict { .. } => StatusCode::CONFLICT,
        };
        if let Self::Conflict { fresh_plan, .. } = self {
            let conflict = public::Conflict {
                error,
                fresh_plan: fresh_plan.map(|plan| *plan),
            };
            return server::respond_json(status, &conflict);
        }
        let body = public::ErrorBody {
            error,
            outcome: None,
            retry_after_ms: None,
        };
        server::respond_json(status, &body)
    }
}

/// Returns the operator that a token belongs to.
///
/// The token is compared with all known tokens, each in constant time, so that the duration leaks
/// nothing.
///
/// # Errors
///
/// Returns [`OperatorError::Unauthorised`] if the token belongs to no operator.
pub fn operator_of(app: &app::App, token: &str) -> Result<id::OperatorName, OperatorError> {
    let digest = id::Digest::of(token.as_bytes());
    let mut operator = None;
    for (name, expected) in &app.settings.operators {
        let is_same = expected.digest().as_bytes().ct_eq(digest.as_bytes());
        if bool::from(is_same) {
            operator = Some(name.clone());
        }
    }
    operator.ok_or(OperatorError::Unauthorised)
}

fn authorise(app: &app::App, call: &server::Call) -> Result<id::OperatorName, OperatorError> {
    let header = call.header(header::AUTHORIZATION.as_str());
    let token = header.and_then(|text| text.strip_prefix("Bearer "));
    operator_of(app, token.unwrap_or(""))
}

/// Handles an intent; responds with a plan.
pub async fn intent(app: sync::Arc<app::App>, call: server::Call) -> Response<Body> {
    let result = async {
        authorise(&app, &call)?;
        let intent = call.read_json(BODY_MAX_BYTES).await.context(BodySnafu)?;
        plan(&app, intent).await
    };
    match result.await {
        Ok(plan) => server::respond_json(StatusCode::OK, &plan),
        Err(error) => error.into_response(),
    }
}

/// Handles the confirmation of a plan.
pub async fn confirm(app: sync::Arc<app::App>, call: server::Call) -> Response<Body> {
    let result = async {
        let operator = authorise(&app, &call)?;
        let plan = call.read_json(BODY_MAX_BYTES).await.context(BodySnafu)?;
        confirm_plan(&app, &plan, &operator).await
    };
    match result.await {
        Ok(config_version) => {
            server::respond_json(StatusCode::OK, &public::Confirmed { config_version })
        }
        Err(error) => error.into_response(),
    }
}

/// Computes a plan against the configuration at the platform.
///
/// # Errors
///
/// Returns an [`OperatorError`] if the intent can't be planned.
pub async fn plan(app: &app::App, intent: intent::Intent) -> Result<intent::Plan, OperatorError> {
    let current = read_config(app, false).await?;
    plan_against(app, &current.value, intent).await
}

async fn plan_against(
    app: &app::App,
    config: &intent::Config,
    intent: intent::Intent,
) -> Result<intent::Plan, OperatorError> {
    let weights = weights_for(app, &intent).await?;
    let costs = intent::queries::Costs {
        link_rate: app.settings.weights_rate,
        activation: ACTIVATION_ESTIMATE,
    };
    let view = app.view.load();
    config
        .plan(generate_plan_id(), &intent, weights.as_ref(), &view, &costs)
        .context(IntentSnafu)
}

/// Puts a plan in force with a conditional write against the version that it was computed from.
///
/// # Errors
///
/// Returns [`OperatorError::Conflict`] if the configuration has changed since, and another error if
/// the plan can't be confirmed.
pub async fn confirm_plan(
    app: &app::App,
    plan: &intent::Plan,
    operator: &id::OperatorName,
) -> Result<id::ConfigVersion, OperatorError> {
    let weights = weights_for(app, &plan.intent).await?;
    let mut last_error: Option<objects::ObjectError> = None;
    let mut may_be_in_force = false;
    for _ in 0..CONFIRM_ATTEMPTS_MAX {
        let current = read_config(app, may_be_in_force).await?;
        let mut config = current.value.clone();
        match config.confirm(plan, operator, weights.as_ref()) {
            Ok(()) => {}
            Err(error @ intent::IntentError::Superseded { .. }) => {
                return Err(conflict(app, &current.value, plan, &error).await);
            }
            Err(source) => return Err(OperatorError::Intent { source }),
        }
        if config.version == current.value.version {
            configuration::apply_object(app, &current);
            return Ok(confirmed_version(&config, &plan.id));
        }
        let name = configuration::CONFIG_OBJECT;
        match app.objects.put(name, current.version, &config).await {
            Ok(version) => {
                let value = config;
                let config_version = value.version;
                configuration::apply_object(app, &objects::Versioned { version, value });
                log::info!("operators: {operator} confirmed plan {}.", plan.id);
                return Ok(config_version);
            }
            // Reading the configuration back shows whether this write or another one took effect.
            Err(
                error @ (objects::ObjectError::Conflict { .. }
                | objects::ObjectError::Unreachable { .. }),
            ) => {
                may_be_in_force |= may_have_been_written(&error);
                last_error = Some(error);
            }
            Err(source) => {
                may_be_in_force |= may_have_been_written(&source);
                let error = PlatformSnafu { may_be_in_force };
                return Err(error.into_error(source));
            }
        }
    }
    match last_error {
        Some(source) => Err(PlatformSnafu { may_be_in_force }.into_error(source)),
        None => Err(OperatorError::NoConfig),
    }
}

fn confirmed_version(config: &intent::Config, plan: &id::PlanId) -> id::ConfigVersion {
    let confirmation = config
        .confirmations
        .iter()
        .find(|confirmation| confirmation.plan == *plan);
    confirmation.map_or(config.version, |confirmation| confirmation.config_version)
}

async fn conflict(
    app: &app::App,
    current: &intent::Config,
    plan: &intent::Plan,
    error: &intent::IntentError,
) -> OperatorError {
    let new_plan = plan_against(app, current, plan.intent.clone()).await;
    let message = match &new_plan {
        Ok(_) => error.to_string(),
        Err(reason) => format!("{error}; planned anew: {reason}"),
    };
    OperatorError::Conflict {
        message,
        fresh_plan: new_plan.ok().map(Box::new),
    }
}

async fn read_config(
    app: &app::App,
    may_be_in_force: bool,
) -> Result<objects::Versioned<intent::Config>, OperatorError> {
    let read = app.objects.get(configuration::CONFIG_OBJECT).await;
    let read = read.context(PlatformSnafu { may_be_in_force })?;
    read.ok_or(OperatorError::NoConfig)
}

async fn weights_for(
    app: &app::App,
    intent: &intent::Intent,
) -> Result<Option<intent::WeightsRef>, OperatorError> {
    let intent::Intent::RollOut { version, .. } = intent else {
        return Ok(None);
    };
    let manifest = app.store.manifest(version).await.context(StoreSnafu)?;
    Ok(Some(intent::WeightsRef {
        version: manifest.version.clone(),
        manifest: manifest.digest(),
        content: manifest.content,
        total_bytes: manifest.total_bytes,
    }))
}

fn generate_plan_id() -> id::PlanId {
    let number: u64 = rand::rng().random();
    let text = format!("plan-{number:016x}");
    match text.parse() {
        Ok(plan_id) => plan_id,
        Err(_) => unreachable!("a plan id made here is valid"),
    }
}

/// Handles a request for the status.
pub async fn status(app: sync::Arc<app::App>, call: server::Call) -> Response<Body> {
    match authorise(&app, &call) {
        Ok(_) => server::respond_json(StatusCode::OK, &status_of(&app)),
        Err(error) => error.into_response(),
    }
}

/// Returns the status of the system as known to this entry.
#[must_use]
pub fn status_of(app: &app::App) -> public::Status {
    let config = app.config.load();
    let view = app.view.load();
    let services = config.services.iter().map(|(service, service_config)| {
        let rollout_status = intent::rollout::rollout_status(&config, service, &view);
        let weights = service_config.weights.as_ref();
        let status = public::ServiceStatus {
            version: weights.map(|weights| weights.version.clone()),
            replica_count: rollout_status.replica_count,
            live_count: rollout_status.live_count,
            holding_count: rollout_status.holding_count,
            open_count: rollout_status.open_count,
        };
        (service.clone(), status)
    });
    let confirmations = config.confirmations.iter().rev();
    let behind = view.members().filter(|member| {
        member.departed_at.is_none() && member.report.config_version < config.version
    });
    public::Status {
        entry: app.settings.entry.clone(),
        config_version: config.version,
        platform_reachable: app.is_platform_reachable(),
        behind_count: u32::try_from(behind.count()).unwrap_or(u32::MAX),
        duty_holder: lock(&app.lease).holder_seen().cloned(),
        services: services.collect(),
        draining: config.draining.clone(),
        confirmations: confirmations
            .take(STATUS_CONFIRMATIONS_MAX)
            .cloned()
            .collect(),
    }
}

/// Handles another entry's request for its counts.
pub async fn counts(app: sync::Arc<app::App>, _call: server::Call) -> Response<Body> {
    let counts = lock(&app.counter).to_counts(app.clock.now());
    server::respond_json(StatusCode::OK, &counts)
}

/// Handles a request for the burn report.
pub async fn burn(app: sync::Arc<app::App>, call: server::Call) -> Response<Body> {
    match authorise(&app, &call) {
        Ok(_) => server::respond_json(StatusCode::OK, &burn_of(&app).await),
        Err(error) => error.into_response(),
    }
}

async fn burn_of(app: &sync::Arc<app::App>) -> report::BurnReport {
    let (counts_of_others, missing) = peers::counts(app).await;
    let own_counts = lock(&app.counter).to_counts(app.clock.now());
    let mut counts = IndexMap::from([(app.settings.entry.to_string(), own_counts)]);
    counts.extend(counts_of_others);
    report::queries::burn(&app.settings.objectives, &counts, &missing)
}
