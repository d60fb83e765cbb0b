#include "cli/job_argument.h"

#include <fmt/format.h>

#include "front/job_path.h"

namespace coriandermount::cli {

void declareJobArgument(cxxopts::Options& options)
{
    options.add_options()("key", "Key of the job", cxxopts::value<std::vector<std::string>>());
    options.parse_positional({ "key" });
    options.positional_help("CUSTOMER/JOB/ISSUED_AT_MS");
}

result<std::string> jobPathOf(const cxxopts::ParseResult& parsedOptions)
{
    if (!parsedOptions.count("key"))
        return fail(
            error_kind::malformed_request, "the job key must be CUSTOMER/JOB/ISSUED_AT_MS, as printed by coriandermount submit");
    const auto path = fmt::format("{}", fmt::join(parsedOptions["key"].as<std::vector<std::string>>(), "/"));
    if (auto key = front::keyFromPath("/" + path, ""); !key)
        return fail(
            error_kind::malformed_request, "the job key must be CUSTOMER/JOB/ISSUED_AT_MS, as printed by coriandermount submit");
    return path;
}

} // namespace coriandermount::cli
