//! Rules that place requests in tiers, and the matchers of their conditions.
