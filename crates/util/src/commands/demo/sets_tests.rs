use super::sets::User;
use googletest::prelude::*;
use poplarswitch_verifier::VerifiedSet;

#[gtest]
fn both_sets_are_whole_and_pass_the_check() {
    for user in User::ALL {
        let set = user.set();
        expect_that!(set.workspaces.len(), eq(10));
        expect_that!(VerifiedSet::new(&set).is_ok(), eq(true));
    }
}
