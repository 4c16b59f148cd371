//! Admission control: reserves a request's tokens from the team's allowance.

use super::{
    allowance::ReservedTokens, caller_error::CallerError, context::RequestContext,
    proxy::CallerProxy, token_wait::TokenPatience,
};
use crate::code::ResultCode;

impl CallerProxy {
    /// Reserves `tokens` of the team's allowance, waiting for them until the deadline. Returns
    /// `None` for requests without a team or a cost.
    ///
    /// # Errors
    /// [`ResultCode::ExceedsBurst`] when the tokens exceed the team's burst limit,
    /// [`ResultCode::RateLimited`] when they do not become available in time.
    pub async fn admit(
        &self,
        context: &RequestContext,
        tokens: u64,
    ) -> Result<Option<ReservedTokens>, CallerError> {
        let Some(caller) = context.caller.as_ref().filter(|_| tokens > 0) else {
            return Ok(None);
        };
        let view = self.view.get();
        let burst = view
            .index
            .team(&caller.team)
            .map_or(0, |team| team.burst_tokens);
        drop(view);
        if tokens > burst {
            let message = format!("the request needs {tokens} tokens; the burst is {burst}");
            let code = ResultCode::ExceedsBurst;
            return Err(CallerError::not_run(code, message, &context.id));
        }
        let patience = TokenPatience {
            shortage: context.deadline,
            answer: context.deadline,
        };
        let reserved = self
            .allowance
            .reserve(&caller.team, tokens, caller.priority, patience)
            .await;
        let Ok(reserved) = reserved else {
            let message = "the team's allowance does not cover the request within its deadline";
            let code = ResultCode::RateLimited;
            return Err(CallerError::not_run(code, message, &context.id));
        };
        Ok(Some(reserved))
    }
}

/// Releases the tokens of a failed request if it did not run. Tokens of one that may have run count
/// as used.
pub fn settle_failure(reserved: Option<ReservedTokens>, error: &CallerError) {
    match reserved {
        Some(reserved) if error.run_state() == super::caller_error::RunState::NotRun => {
            reserved.release();
        }
        _ => {}
    }
}
