//===- pistachioloom/Answers.h - parsing of answers ------------------------===//
///
/// \file
/// Parts for parsing HTTP/1.1 answers of servers that may be faulty. No memory is allocated for a
/// length that is only stated.
//===----------------------------------------------------------------------===//
#pragma once

#include "pistachioloom/Support.h"

#include <boost/beast/http.hpp>

namespace pistachioloom {

/// A body whose memory grows with the bytes received. Beast's string_body allocates the stated
/// length before the first byte, which throws if the length is larger than the memory.
struct ReceivedBody {
    // NOLINTBEGIN(readability-identifier-naming): Beast requires these names of a body.
    using value_type = std::string;

    class reader {
    public:
        template <bool isRequest, typename Fields>
        reader(boost::beast::http::header<isRequest, Fields>&, value_type& body)
            : body_(body)
        {
        }

        void init(const boost::optional<std::uint64_t>&, boost::beast::error_code& code) { code = {}; }

        template <typename Buffers>
        std::size_t put(const Buffers& buffers, boost::beast::error_code& code)
        {
            code = {};
            std::size_t before = body_.size();
            for (auto buffer : boost::beast::buffers_range_ref(buffers))
                body_.append(static_cast<const char*>(buffer.data()), buffer.size());
            return body_.size() - before;
        }

        void finish(boost::beast::error_code& code) { code = {}; }

    private:
        value_type& body_;
    };
    // NOLINTEND(readability-identifier-naming)
};

} // namespace pistachioloom
