#pragma once

#include <LibReport/LabelValues.h>
#include <atomic>
#include <prometheus/family.h>
#include <prometheus/histogram.h>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

namespace Bergamot {

/// Caches the series of one metric family by one or two labels with bounded value sets. A series is created on first
/// use. Later lookups are an array access, whereas Family::Add() takes a lock and hashes the whole label map.
template <typename T> class SeriesTable {
public:
    struct Label {
        std::string name;
        const LabelValues& values;
    };

    /// `boundaries` are the bucket bounds of a histogram; counters and gauges ignore them.
    SeriesTable(prometheus::Family<T>& family, std::vector<Label> labels,
        const prometheus::Histogram::BucketBoundaries& boundaries = {})
        : m_family(family)
        , m_labels(std::move(labels))
        , m_boundaries(boundaries)
        , m_series(countSeries(m_labels))
    {
    }

    T& at(std::string_view first, std::string_view second = {})
    {
        auto firstIndex = m_labels[0].values.indexOf(first);
        auto secondIndex = m_labels.size() > 1 ? m_labels[1].values.indexOf(second) : 0;
        auto& series = m_series[secondIndex * m_labels[0].values.count() + firstIndex];
        if (auto* existing = series.load(std::memory_order_acquire))
            return *existing;
        auto& added = add(firstIndex, secondIndex);
        series.store(&added, std::memory_order_release);
        return added;
    }

private:
    static size_t countSeries(const std::vector<Label>& labels)
    {
        size_t count = 1;
        for (const auto& label : labels)
            count *= label.values.count();
        return count;
    }

    // Two threads may add the same series concurrently: Family::Add() returns the existing one to the second thread.
    T& add(size_t firstIndex, size_t secondIndex)
    {
        prometheus::Labels labels { { m_labels[0].name, m_labels[0].values.valueAt(firstIndex) } };
        if (m_labels.size() > 1)
            labels.emplace(m_labels[1].name, m_labels[1].values.valueAt(secondIndex));
        if constexpr (std::is_same_v<T, prometheus::Histogram>)
            return m_family.Add(labels, m_boundaries);
        else
            return m_family.Add(labels);
    }

    prometheus::Family<T>& m_family;
    std::vector<Label> m_labels;
    prometheus::Histogram::BucketBoundaries m_boundaries;
    std::vector<std::atomic<T*>> m_series;
};

}
