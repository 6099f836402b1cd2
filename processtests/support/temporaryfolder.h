#pragma once

#include <filesystem>

namespace Galenarack {

/// A folder for temporary files that is removed, with its contents, when this object is destroyed. With the environment variable
/// GALENARACK_KEEP_TEST_FOLDERS it is kept, so that the logs of a failed test can be read.
class TemporaryFolder
{
public:
    /// Creates an empty folder.
    /// @throws std::system_error when the folder cannot be created
    TemporaryFolder();
    ~TemporaryFolder();
    TemporaryFolder(const TemporaryFolder &) = delete;
    TemporaryFolder &operator=(const TemporaryFolder &) = delete;

    const std::filesystem::path &path() const
    {
        return this->folder;
    }

private:
    std::filesystem::path folder;
};

} // namespace Galenarack
