//! Mapping of internal errors to the errors and HTTP status codes that operators receive.

use actix_http::Response;
use actix_http::StatusCode;
use actix_http::body::BoxBody;

use crate::claims::ClaimError;
use crate::configuration;
use crate::language::answer::CommandAnswer;
use crate::language::answer::CommandError;
use crate::language::answer::CommandErrorCode;
use crate::reply::json;

pub fn store_error(error: &configuration::ConfigurationStoreError) -> CommandError {
    CommandError::new(CommandErrorCode::Unavailable, error.to_string())
}

pub fn change_error(error: &configuration::ChangeWriteError) -> CommandError {
    let code = match error {
        configuration::ChangeWriteError::Conflict { .. } => CommandErrorCode::Conflict,
        configuration::ChangeWriteError::Rejected(_)
        | configuration::ChangeWriteError::Encoding(_) => CommandErrorCode::Change,
        configuration::ChangeWriteError::Platform(_) => CommandErrorCode::Unavailable,
        configuration::ChangeWriteError::Unknown { .. } => CommandErrorCode::Unknown,
    };
    CommandError::new(code, error.to_string())
}

pub fn claim_error(error: &ClaimError) -> CommandError {
    let code = match error {
        ClaimError::NoClaim => CommandErrorCode::NotFound,
        ClaimError::Changed | ClaimError::Settle(_) => CommandErrorCode::Conflict,
        ClaimError::Unavailable | ClaimError::Platform(_) => CommandErrorCode::Unavailable,
        ClaimError::NotRecorded | ClaimError::Answer(_) | ClaimError::Row(_) => {
            CommandErrorCode::Unknown
        }
    };
    CommandError::new(code, error.to_string())
}

/// Returns a response with no results and the given error.
pub fn error_response(error: CommandError) -> Response<BoxBody> {
    let answer = CommandAnswer {
        results: Vec::new(),
        error: Some(error),
    };
    json(status_of(&answer), &answer)
}

/// Returns the HTTP status of an answer, by the code of its error.
pub fn status_of(answer: &CommandAnswer) -> StatusCode {
    let Some(error) = &answer.error else {
        return StatusCode::OK;
    };
    match error.code {
        CommandErrorCode::Change | CommandErrorCode::Syntax => StatusCode::BAD_REQUEST,
        CommandErrorCode::Conflict => StatusCode::CONFLICT,
        CommandErrorCode::NotFound => StatusCode::NOT_FOUND,
        CommandErrorCode::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        CommandErrorCode::Unauthorized => StatusCode::UNAUTHORIZED,
        CommandErrorCode::Unavailable => StatusCode::SERVICE_UNAVAILABLE,
        CommandErrorCode::Unknown => StatusCode::GATEWAY_TIMEOUT,
    }
}
