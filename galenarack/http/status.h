#pragma once

namespace Galenarack {

/// Lowest and highest number that is a status code (RFC 9110 section 15).
inline constexpr unsigned minHttpStatus = 100;
inline constexpr unsigned maxHttpStatus = 599;

/// Status that ends HTTP on the connection. No request of this program asks for it.
inline constexpr unsigned switchingProtocols = 101;

/// @return whether a response with this status may answer a request, as an interim or as the final response
constexpr bool isAcceptableStatus(unsigned status)
{
    return status >= minHttpStatus && status <= maxHttpStatus && status != switchingProtocols;
}

/// @return whether this is an interim response, which the final one follows (RFC 9110 section 15.2)
constexpr bool isInterimStatus(unsigned status)
{
    return status / 100 == 1 && isAcceptableStatus(status);
}

/// @return whether this is the status of a final response
constexpr bool isFinalStatus(unsigned status)
{
    return isAcceptableStatus(status) && !isInterimStatus(status);
}

} // namespace Galenarack
