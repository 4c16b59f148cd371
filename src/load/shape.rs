use std::time::Duration;

/// What a caller asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum RequestKind {
    /// A streamed answer that a person waits for.
    Chat,
    /// A draft or summary without a stream, of low priority.
    Draft,
    /// A lookup at a plain service.
    Lookup,
    /// A reservation at a plain service, which may run at most once.
    Reservation,
}

impl RequestKind {
    /// Every kind.
    pub const ALL: [Self; 4] = [Self::Chat, Self::Draft, Self::Lookup, Self::Reservation];

    /// Name in the report.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Chat => "chat",
            Self::Draft => "draft",
            Self::Lookup => "lookup",
            Self::Reservation => "reservation",
        }
    }

    /// Time from sending to the first byte that counts as attained. Nobody waits for a draft, so
    /// it only has to come before a batch ends.
    #[must_use]
    pub const fn first_byte_target(self) -> Duration {
        match self {
            Self::Chat | Self::Lookup => Duration::from_millis(320),
            Self::Reservation => Duration::from_secs(1),
            Self::Draft => Duration::from_secs(10),
        }
    }
}

/// How one team calls.
#[derive(Clone, Debug)]
pub struct TeamShape {
    /// Number of the team's key in the settings.
    pub key: usize,
    /// Requests a second on average.
    pub rate: f64,
    /// Factor of the rate in bursts; 1 for none.
    pub burst: f64,
    /// Weight of each kind, in the order of [`RequestKind::ALL`].
    pub mix: [u32; 4],
    /// Words in a prompt, besides the team's shared prefix.
    pub prompt_words: u32,
    /// Words of the prefix that all prompts of the team share.
    pub prefix_words: u32,
}

/// The teams of a deployment. The last team floods.
#[derive(Clone, Debug)]
pub struct LoadShape {
    /// Name in the report.
    pub name: &'static str,
    /// The teams.
    pub teams: Vec<TeamShape>,
}

impl LoadShape {
    /// Battery orders: lookups and reservations by day, drafts and summaries in bulk.
    #[must_use]
    pub fn atlas(scale: f64) -> Self {
        Self::new(
            "atlas",
            scale,
            [[3, 1, 4, 2], [1, 6, 1, 0], [2, 2, 2, 1], [1, 4, 0, 0]],
        )
    }

    /// Chalk orders: questions and letters, stock lookups and orders in evening bursts.
    #[must_use]
    pub fn brattvold(scale: f64) -> Self {
        Self::new(
            "brattvold",
            scale,
            [[5, 1, 3, 1], [3, 3, 1, 0], [2, 0, 4, 2], [4, 1, 1, 1]],
        )
    }

    fn new(name: &'static str, scale: f64, mixes: [[u32; 4]; 4]) -> Self {
        let team = |(key, mix): (usize, [u32; 4])| TeamShape {
            key,
            rate: scale,
            burst: 3.0,
            mix,
            prompt_words: 12,
            prefix_words: 40,
        };
        let mut teams: Vec<TeamShape> = mixes.into_iter().enumerate().map(team).collect();
        let flood = TeamShape {
            rate: 4.0 * scale,
            burst: 1.0,
            ..team((4, [1, 1, 0, 0]))
        };
        teams.push(flood);
        Self { name, teams }
    }
}
