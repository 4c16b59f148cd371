use clap::ArgMatches;
use reqwest::Method;

use super::{CommandResult, admin_path, print_answer, request_id};
use crate::{
    operator::OperatorContext,
    state::{DrainRequest, DrainState, DrainSubject},
};

/// Drains a VM or target, or ends its drain.
pub async fn run(context: &OperatorContext, name: &str, arguments: &ArgMatches) -> CommandResult {
    let id = |name: &str| arguments.get_one::<String>(name);
    let subject = match (id("vm"), id("target")) {
        (Some(vm), _) => DrainSubject::Vm(vm.into()),
        (_, target) => DrainSubject::Target(target.expect("clap requires a VM or a target").into()),
    };
    let state = match name {
        "drain" => DrainState::Draining,
        _ => DrainState::Active,
    };
    let body = DrainRequest {
        request_id: request_id(arguments).into(),
        subject,
        state,
    };
    let client = context.client()?;
    let path = admin_path("/drains");
    let reply = client.send(Method::POST, &path, Some(&body)).await?;
    print_answer(context, &reply.decode()??);
    Ok(())
}
