//! A page for phones, with plain forms and no script.

use std::{fmt::Write as _, sync};

use bytes::Bytes;
use gotham::helpers::http::Body;
use hyper::{Response, StatusCode};
use indexmap::IndexMap;
use pimentohook_core::intent;
use pimentohook_runtime::server;
use pimentohook_wire::public;

use crate::{app, operators};

const BODY_MAX_BYTES: usize = 64 << 10;
const HEAD: &str = "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\">\
    <meta name=\"viewport\" content=\"width=device-width\"><title>pimentohook</title>\
    <style>body{font:18px sans-serif;margin:1em}input,button,select{font:inherit;width:100%;\
    padding:.5em;margin:.2em 0;box-sizing:border-box}button{font-weight:bold}</style>\n\
    <h1>pimentohook</h1>\n";

/// Handles a request for the login form.
pub async fn show(_app: sync::Arc<app::App>, _call: server::Call) -> Response<Body> {
    let mut page = String::from(HEAD);
    page.push_str(
        "<form method=\"post\"><label>Token <input type=\"password\" name=\"token\" \
         autocomplete=\"current-password\"></label><button>Show status</button></form>\n",
    );
    respond(StatusCode::OK, page)
}

/// Handles a submitted form: shows the status, plans an intent or confirms a plan.
pub async fn submit(app: sync::Arc<app::App>, call: server::Call) -> Response<Body> {
    let body = match call.read_body(BODY_MAX_BYTES).await {
        Ok(body) => body,
        Err(error) => return server::respond_text(error.status(), &error.to_string()),
    };
    let form = parse_form(&body);
    let field = |name: &str| form.get(name).map_or("", String::as_str);
    let token = field("token");
    let operator = match operators::operator_of(&app, token) {
        Ok(operator) => operator,
        Err(error) => return error_page(&error, ""),
    };
    if let Ok(plan) = serde_json::from_str::<intent::Plan>(field("plan")) {
        let confirmed = operators::confirm_plan(&app, &plan, &operator).await;
        return match confirmed {
            Ok(version) => {
                let notice = format!("<p>Confirmed; configuration {version} is in force.</p>\n");
                respond(StatusCode::OK, status_page(&app, token, &notice))
            }
            Err(operators::OperatorError::Conflict {
                message,
                fresh_plan: Some(plan),
            }) => respond(StatusCode::CONFLICT, plan_page(&plan, token, &message)),
            Err(error) => error_page(&error, token),
        };
    }
    if field("kind").is_empty() {
        return respond(StatusCode::OK, status_page(&app, token, ""));
    }
    let intent = match intent_of(&form) {
        Ok(intent) => intent,
        Err(reason) => return respond(StatusCode::BAD_REQUEST, status_page(&app, token, &reason)),
    };
    match operators::plan(&app, intent).await {
        Ok(plan) => respond(StatusCode::OK, plan_page(&plan, token, "")),
        Err(error) => error_page(&error, token),
    }
}

fn intent_of(form: &IndexMap<String, String>) -> Result<intent::Intent, String> {
    let field = |name: &str| form.get(name).map_or("", String::as_str);
    let invalid = |name: &str| format!("<p>{} is not a valid {name}.</p>\n", escape(field(name)));
    let service = || field("service").parse().map_err(|_| invalid("service"));
    let vm = || field("vm").parse().map_err(|_| invalid("vm"));
    match field("kind") {
        "roll_out" => Ok(intent::Intent::RollOut {
            services: vec![service()?],
            version: field("version").parse().map_err(|_| invalid("version"))?,
        }),
        "drain" => Ok(intent::Intent::Drain { vm: vm()? }),
        "restore" => Ok(intent::Intent::Restore { vm: vm()? }),
        "move" => Ok(intent::Intent::Move {
            vm: vm()?,
            service: service()?,
        }),
        _ => Err(invalid("kind")),
    }
}

fn status_page(app: &app::App, token: &str, notice: &str) -> String {
    let status = operators::status_of(app);
    let mut page = String::from(HEAD);
    page.push_str(notice);
    push_status(&mut page, &status);
    let token = escape(token);
    let _ = writeln!(
        page,
        "<h2>New intent</h2><form method=\"post\">\
         <input type=\"hidden\" name=\"token\" value=\"{token}\">\
         <select name=\"kind\"><option value=\"roll_out\">Roll out a version</option>\
         <option value=\"drain\">Drain a VM</option><option value=\"restore\">Restore a VM</option>\
         <option value=\"move\">Move an engine</option></select>\
         <input name=\"service\" placeholder=\"service (roll out, move)\">\
         <input name=\"version\" placeholder=\"version (roll out)\">\
         <input name=\"vm\" placeholder=\"VM (drain, restore, move)\">\
         <button>Show the plan</button></form>"
    );
    page
}

fn push_status(page: &mut String, status: &public::Status) {
    let platform = if status.platform_reachable {
        "reachable"
    } else {
        "not reachable: serving on, accepting nothing"
    };
    let _ = writeln!(
        page,
        "<p>Configuration {}; platform {platform}.</p><ul>",
        status.config_version
    );
    for (service, service_status) in &status.services {
        let version = service_status
            .version
            .as_ref()
            .map_or("plain", |text| text.as_str());
        let _ = writeln!(
            page,
            "<li>{service}: {version} live on {} of {}, {} take work</li>",
            service_status.live_count, service_status.replica_count, service_status.open_count
        );
    }
    page.push_str("</ul>\n");
}

fn plan_page(plan: &intent::Plan, token: &str, notice: &str) -> String {
    let mut page = String::from(HEAD);
    let _ = writeln!(page, "<p>{}</p><h2>Plan</h2><ul>", escape(notice));
    for step in &plan.steps {
        let action = escape(&step.action);
        let _ = writeln!(page, "<li>{action} ({} replicas)</li>", step.replica_count);
    }
    let plan_json = serde_json::to_string(plan).unwrap_or_default();
    let _ = writeln!(
        page,
        "</ul><p>At most {} from the origin, about {} s, {} replicas keep serving.</p>\
         <form method=\"post\"><input type=\"hidden\" name=\"token\" value=\"{}\">\
         <input type=\"hidden\" name=\"plan\" value=\"{}\"><button>Confirm</button></form>",
        plan.origin_bytes,
        plan.estimated_ms.div_ceil(1_000),
        plan.serving_floor,
        escape(token),
        escape(&plan_json)
    );
    page
}

fn error_page(error: &operators::OperatorError, token: &str) -> Response<Body> {
    let status = match error {
        operators::OperatorError::Unauthorised => StatusCode::UNAUTHORIZED,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    };
    let mut page = String::from(HEAD);
    let _ = writeln!(
        page,
        "<p>{}</p><form method=\"post\"><input type=\"hidden\" name=\"token\" value=\"{}\">\
         <button>Back to the status</button></form>",
        escape(&error.to_string()),
        escape(token)
    );
    respond(status, page)
}

fn respond(status: StatusCode, page: String) -> Response<Body> {
    server::respond(status, "text/html; charset=utf-8", Bytes::from(page))
}

fn escape(text: &str) -> String {
    let mut escaped = String::with_capacity(text.len());
    for character in text.chars() {
        match character {
            '&' => escaped.push_str("&amp;"),
            '<' => escaped.push_str("&lt;"),
            '>' => escaped.push_str("&gt;"),
            '"' => escaped.push_str("&quot;"),
            '\'' => escaped.push_str("&#39;"),
            character => escaped.push(character),
        }
    }
    escaped
}

fn parse_form(body: &[u8]) -> IndexMap<String, String> {
    form_urlencoded::parse(body).into_owned().collect()
}
