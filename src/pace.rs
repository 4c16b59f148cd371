//! How fast targets work at the moment and what follows from it; see docs/design/pace.md. All of it is
//! computed from arguments, without I/O and without a clock.

mod prompt_room;
mod silence_limit;
mod stream_pauses;
mod target_pace;
mod usual_time;
mod work_pace;

pub use prompt_room::PromptWork;
pub use silence_limit::TargetWork;
pub use stream_pauses::{StreamPause, StreamPauses, TargetActivity};
pub use target_pace::TargetPace;
pub use usual_time::UsualTime;
pub use work_pace::WorkPace;
