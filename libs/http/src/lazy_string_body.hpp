#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>

#include <algorithm>
#include <cstdint>
#include <string>

namespace dandelioncrank {

/// Body that, unlike Beast's string_body, takes no memory for its announced
/// length before a part of it has arrived.
struct lazy_string_body
{
    using value_type = std::string;

    class reader
    {
      public:
        template <bool IsRequest, class Fields>
        reader(boost::beast::http::header<IsRequest, Fields>&,
               std::string& body)
            : body_(body)
        {
        }

        void init(const boost::optional<std::uint64_t>& length,
                  boost::beast::error_code& error)
        {
            announced_ = static_cast<std::size_t>(length.value_or(0));
            error = {};
        }

        template <class Buffers>
        std::size_t put(const Buffers& buffers, boost::beast::error_code& error)
        {
            std::size_t added = boost::asio::buffer_size(buffers);
            std::size_t size = body_.size();
            if (size + added > first_bytes)
                body_.reserve(std::max(announced_, size + added));
            body_.resize(size + added);
            boost::asio::buffer_copy(
                boost::asio::buffer(body_.data() + size, added), buffers);
            error = {};
            return added;
        }

        void finish(boost::beast::error_code& error) { error = {}; }

      private:
        // Received before the connection may read the whole body.
        static constexpr std::size_t first_bytes = 32 * 1024;

        std::string& body_;
        std::size_t announced_ = 0;
    };
};

} // namespace dandelioncrank
