/// Runs a RapidCheck property over a stated number of schedules.
#pragma once

#include <iostream>
#include <string>

#include <rapidcheck.h>

namespace coriandermount::fakes {

/// Checks a property like `rc::check`, with the seed of the environment but with `count` cases. Prints the result to the
/// standard error output; returns whether the property holds.
template <class Testable> bool checkSchedules(const std::string& description, int count, Testable&& testable)
{
    rc::detail::TestMetadata metadata;
    metadata.id = description;
    metadata.description = description;
    rc::detail::TestParams params = rc::detail::configuration().testParams;
    params.maxSuccess = count;
    const auto outcome = rc::detail::checkTestable(std::forward<Testable>(testable), metadata, params);
    rc::detail::printResultMessage(outcome, std::cerr);
    std::cerr << '\n';
    return outcome.template is<rc::detail::SuccessResult>();
}

} // namespace coriandermount::fakes
