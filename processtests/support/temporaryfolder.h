#pragma once

#include <filesystem>

namespace Galenarack {

/// A folder that is removed with this object.
class TemporaryFolder
{
public:
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
