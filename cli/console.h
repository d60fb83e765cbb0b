/// Input and output of commands.
#pragma once

#include <string>
#include <string_view>

namespace coriandermount::cli {

/// Input and output of a command, as an interface so that tests can capture them.
class console {
public:
    virtual ~console() = default;

    /// Writes results.
    virtual void out(std::string_view text) = 0;

    /// Writes error messages and progress.
    virtual void err(std::string_view text) = 0;

    /// Returns whether results go to a terminal. Otherwise tables are plain for use in pipes, and no progress is shown.
    virtual bool isTerminal() const = 0;

    /// Reads standard input to its end.
    virtual std::string readInput() = 0;
};

/// Console on the standard streams of the process.
class standard_console final : public console {
public:
    void out(std::string_view text) override;
    void err(std::string_view text) override;
    bool isTerminal() const override;
    std::string readInput() override;
};

} // namespace coriandermount::cli
