#include "answer_check.h"

#include "siskinwharf/base/hash.h"

namespace siskinwharf::standins {

namespace {

constexpr std::string_view white_space = " \t\r\n\v\f";
constexpr std::uint64_t distinct_tokens = 100'000;

} // namespace

std::vector<std::string> split_tokens(std::string_view text)
{
    std::vector<std::string> tokens;
    std::size_t begin = text.find_first_not_of(white_space);
    while (begin != std::string_view::npos) {
        const std::size_t end = text.find_first_of(white_space, begin);
        tokens.emplace_back(text.substr(begin, end == std::string_view::npos ? end : end - begin));
        begin = text.find_first_not_of(white_space, end);
    }
    return tokens;
}

std::string answer_token(std::string_view prompt, std::uint64_t index)
{
    std::string seed(prompt);
    seed += '#';
    seed += std::to_string(index);
    return "t" + std::to_string(hash64(seed) % distinct_tokens);
}

std::vector<std::string> expected_answer(std::string_view prompt, std::uint64_t count)
{
    std::vector<std::string> tokens;
    tokens.reserve(count);
    for (std::uint64_t index = 0; index < count; ++index)
        tokens.push_back(answer_token(prompt, index));
    return tokens;
}

bool answer_check::accept(std::string_view token)
{
    if (m_wrong || m_accepted == m_count || token != answer_token(m_prompt, m_accepted)) {
        m_wrong = true;
        return false;
    }
    ++m_accepted;
    return true;
}

std::vector<std::uint64_t> block_hashes(std::string_view model, std::string_view version,
                                        const std::vector<std::string>& tokens)
{
    std::vector<std::uint64_t> hashes;
    std::uint64_t prefix = combine64(hash64(model), hash64(version));
    for (std::size_t index = 0; index < tokens.size(); ++index) {
        prefix = combine64(prefix, hash64(tokens[index]));
        if ((index + 1) % tokens_per_block == 0)
            hashes.push_back(prefix);
    }
    return hashes;
}

} // namespace siskinwharf::standins
