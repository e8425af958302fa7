//! Tests of what operators are told when the platform can't be used.

use std::net;

use pimentohook_entry::operators;
use pimentohook_platform::objects;
use pimentohook_runtime::client;
use rstest::rstest;

fn unreachable() -> objects::ObjectError {
    objects::ObjectError::Unreachable {
        source: client::ClientError::Connect {
            address: net::SocketAddr::from(([127, 0, 0, 1], 9)),
        },
    }
}

fn refused() -> objects::ObjectError {
    objects::ObjectError::Refused {
        status: hyper::StatusCode::INTERNAL_SERVER_ERROR,
    }
}

fn superseded() -> objects::ObjectError {
    objects::ObjectError::Conflict {
        name: String::from("config"),
        present: 7,
    }
}

fn malformed() -> objects::ObjectError {
    objects::ObjectError::Malformed {
        name: String::from("config"),
        source: serde_json::from_str::<u64>("{}").expect_err("not a number"),
    }
}

/// Every error ended in "nothing is accepted until it does, what is in force stays in force",
/// although the platform had answered, or the change may have been in force.
#[rstest]
#[case::unreachable(unreachable(), false)]
#[case::refused(refused(), false)]
#[case::superseded(superseded(), false)]
#[case::malformed(malformed(), false)]
#[case::reply_lost(unreachable(), true)]
#[case::reply_malformed(malformed(), true)]
fn an_operator_is_told_what_became_of_the_change(
    #[case] source: objects::ObjectError,
    #[case] may_be_in_force: bool,
) {
    let case = format!("{}_{may_be_in_force}", variant(&source));
    let error = operators::OperatorError::Platform {
        source,
        may_be_in_force,
    };
    insta::assert_snapshot!(case, error.to_string());
}

fn variant(error: &objects::ObjectError) -> &'static str {
    match error {
        objects::ObjectError::Unreachable { .. } => "unreachable",
        objects::ObjectError::Refused { .. } => "refused",
        objects::ObjectError::Conflict { .. } => "superseded",
        objects::ObjectError::Malformed { .. } => "malformed",
    }
}
