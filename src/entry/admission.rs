//! Admission: reserves a request's tokens from the team's allowance.

use super::{
    allowance::ReservedTokens, context::RequestContext, proxy::CallerProxy, refusal::CallerError,
};
use crate::code::ResultCode;

impl CallerProxy {
    /// Reserves `tokens` of the team's allowance, and waits for them until the deadline. `None` is
    /// returned for requests that cost nothing.
    ///
    /// # Errors
    /// [`ResultCode::ExceedsBurst`] when the team can never have so many tokens at once,
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
        let reserved = self
            .allowance
            .reserve(&caller.team, tokens, caller.priority, context.deadline)
            .await;
        let Some(reserved) = reserved else {
            let message = "the team's allowance does not cover the request within its deadline";
            let code = ResultCode::RateLimited;
            return Err(CallerError::not_run(code, message, &context.id));
        };
        Ok(Some(reserved))
    }
}

/// Gives the tokens of a request that failed back if it did not run. Tokens of one that may have
/// run count as used.
pub fn settle_failure(reserved: Option<ReservedTokens>, error: &CallerError) {
    match reserved {
        Some(reserved) if error.run_state() == super::refusal::RunState::NotRun => {
            reserved.release();
        }
        _ => {}
    }
}
