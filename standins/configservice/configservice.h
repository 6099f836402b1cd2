#pragma once

#include "readerport.h"

#include <deque>
#include <vector>

namespace Galenarack::StandIns {

/// Test double of the configuration service and its VM list. Readers get and watch values; the control port changes them.
///
/// Control: PUT or DELETE /values/KEY, POST /mode/{normal,frozen,silent,down,stale}[?port=INDEX], GET /calls,
/// PUT /views/INDEX/KEY to override a value for the readers of one port.
class ConfigService
{
public:
    struct Settings
    {
        std::vector<Tcp::endpoint> listen; ///< Addresses for readers, one port each.
        Tcp::endpoint control; ///< Address of the control port.
        double maxCallsPerSecond = 0.0; ///< Limit over all ports; further calls get status 429; 0 means no limit.
    };

    ConfigService(boost::asio::io_context &context, const Settings &settings);

    /// Opens all ports.
    void start();

    ValueStore &store()
    {
        return this->values;
    }
    const std::deque<ReaderPort> &readerPorts() const
    {
        return this->ports;
    }
    const Tcp::endpoint &controlAddress() const
    {
        return this->control.address();
    }

private:
    /// Runs a control command.
    /// @return the call counts
    /// @throws std::exception if the command is not valid
    nlohmann::json handleControlRequest(const HttpRequest &request);
    void changeValue(const HttpRequest &request, const std::string &key);
    void changeView(const HttpRequest &request, std::string_view indexAndKey);
    void changeMode(const Target &target);
    nlohmann::json callCounts() const;

    ValueStore values;
    CallCounter counter;
    std::deque<ReaderPort> ports;
    HttpServer control;
};

} // namespace Galenarack::StandIns
