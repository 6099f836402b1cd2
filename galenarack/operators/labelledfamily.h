#pragma once

#include <prometheus/family.h>
#include <prometheus/histogram.h>

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <type_traits>

namespace Galenarack {

/// Names that may appear as label values.
using LabelNames = std::set<std::string, std::less<>>;

/// The series of one metric family by service, upstream and outcome. Caches the pointers to the series, as a lookup in
/// prometheus::Family acquires a lock and hashes all labels.
template<typename Metric>
class LabelledFamily
{
public:
    explicit LabelledFamily(prometheus::Family<Metric> &family)
        : family(family)
    {
    }

    /// @return the series with these labels, created on first use; a label with an empty value is left out
    Metric &at(std::string_view service, std::string_view upstream = {}, std::string_view outcome = {})
    {
        this->setKey(service, upstream, outcome);
        const auto found = this->series.find(this->key);
        if (found != this->series.end()) {
            return *found->second.metric;
        }
        Entry entry{std::string(service), std::string(upstream), nullptr};
        entry.metric = &this->add(service, upstream, outcome);
        return *this->series.emplace(this->key, std::move(entry)).first->second.metric;
    }

    /// Removes the series whose service or upstream is not in the given sets. A label that is left out or has the value `other`
    /// is always kept.
    void retain(const LabelNames &services, const LabelNames &upstreams, std::string_view other)
    {
        const auto isKept = [other](const LabelNames &names, const std::string &name) {
            return name.empty() || name == other || names.contains(name);
        };
        std::erase_if(this->series, [&](const auto &item) {
            const Entry &entry = item.second;
            if (isKept(services, entry.service) && isKept(upstreams, entry.upstream)) {
                return false;
            }
            this->family.Remove(entry.metric);
            return true;
        });
    }

    /// @return current number of series
    std::size_t size() const
    {
        return this->series.size();
    }

private:
    struct Entry
    {
        std::string service;
        std::string upstream;
        Metric *metric = nullptr;
    };

    /// Builds the lookup key in a reused buffer, so that a lookup does not allocate.
    void setKey(std::string_view service, std::string_view upstream, std::string_view outcome)
    {
        this->key.assign(service);
        this->key.push_back('\0');
        this->key.append(upstream);
        this->key.push_back('\0');
        this->key.append(outcome);
    }

    Metric &add(std::string_view service, std::string_view upstream, std::string_view outcome)
    {
        prometheus::Labels labels;
        if (!service.empty()) {
            labels.emplace("service", service);
        }
        if (!upstream.empty()) {
            labels.emplace("upstream", upstream);
        }
        if (!outcome.empty()) {
            labels.emplace("outcome", outcome);
        }
        if constexpr (std::is_same_v<Metric, prometheus::Histogram>) {
            // In seconds, from the latency that the proxy itself adds (0.5 ms) to the longest usual deadline (10 s).
            return this->family.Add(labels,
                                    prometheus::Histogram::BucketBoundaries{
                                        0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0});
        } else {
            return this->family.Add(labels);
        }
    }

    prometheus::Family<Metric> &family;
    std::map<std::string, Entry, std::less<>> series;
    std::string key;
};

} // namespace Galenarack
