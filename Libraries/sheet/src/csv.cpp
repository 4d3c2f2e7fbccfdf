#include "csv.h"

#include <algorithm>
#include <cstdint>
#include <utility>

namespace siskinwharf::sheet {

namespace {

/// Longest value quoted in a fault, in bytes.
constexpr std::size_t max_printable = 60;

class csv_parser {
public:
    csv_parser(std::string_view text, std::vector<sheet_fault>& faults) : m_text(text), m_faults(faults) {}

    std::vector<csv_record> run()
    {
        std::vector<csv_record> records;
        while (m_position < m_text.size())
            records.push_back(read_record());
        return records;
    }

private:
    csv_record read_record()
    {
        csv_record record{.line = m_line, .fields = {}};
        while (true) {
            record.fields.push_back(at('"') ? read_quoted(record.line) : read_plain(record.line));
            if (!at(','))
                break;
            ++m_position;
        }
        skip_line_end();
        return record;
    }

    std::string read_plain(std::size_t line)
    {
        const std::size_t begin = m_position;
        while (m_position < m_text.size() && !at(',') && !at_line_end()) {
            if (at('"'))
                add_fault(line, "\"", "a quote only around the whole field, doubled inside it");
            if (at('\r'))
                add_fault(line, "\r", "a carriage return only before a line feed or in a quoted field");
            ++m_position;
        }
        return std::string(m_text.substr(begin, m_position - begin));
    }

    std::string read_quoted(std::size_t line)
    {
        std::string field;
        ++m_position;
        while (true) {
            if (m_position == m_text.size()) {
                add_fault(line, field, "a closing quote");
                return field;
            }
            if (at('"')) {
                ++m_position;
                if (!at('"'))
                    break;
            }
            if (at('\n'))
                ++m_line;
            field.push_back(m_text[m_position++]);
        }
        if (m_position < m_text.size() && !at(',') && !at_line_end())
            add_fault(line, read_plain(line), "a comma or the end of the line after a closing quote");
        return field;
    }

    void skip_line_end()
    {
        if (at('\r'))
            ++m_position;
        if (at('\n')) {
            ++m_position;
            ++m_line;
        }
    }

    [[nodiscard]] bool at(char character) const
    {
        return m_position < m_text.size() && m_text[m_position] == character;
    }

    [[nodiscard]] bool at_line_end() const { return at('\n') || m_text.substr(m_position, 2) == "\r\n"; }

    void add_fault(std::size_t line, std::string_view found, std::string allowed)
    {
        m_faults.push_back(
            {.line = line, .field = {}, .found = printable(found), .allowed = std::move(allowed)});
    }

    std::string_view m_text;
    std::vector<sheet_fault>& m_faults;
    std::size_t m_position = 0;
    std::size_t m_line = 1;
};

/// Length of the UTF-8 sequence at the start of `text`, or 0 if it is not well formed.
std::size_t utf8_sequence_length(std::string_view text)
{
    const auto byte = [text](std::size_t index) {
        return static_cast<std::uint8_t>(text[index]);
    };
    const std::uint8_t first = byte(0);
    if (first < 0x80)
        return 1;
    if (first < 0xC2 || first > 0xF4)
        return 0;
    const std::size_t length = first < 0xE0 ? 2 : (first < 0xF0 ? 3 : 4);
    if (text.size() < length)
        return 0;
    for (std::size_t index = 1; index < length; ++index) {
        if ((byte(index) & 0xC0U) != 0x80)
            return 0;
    }
    // Overlong forms, surrogates and values above U+10FFFF show in the second byte.
    const std::uint8_t second = byte(1);
    if ((first == 0xE0 && second < 0xA0) || (first == 0xED && second > 0x9F) ||
        (first == 0xF0 && second < 0x90) || (first == 0xF4 && second > 0x8F))
        return 0;
    return length;
}

} // namespace

std::vector<csv_record> read_csv(std::string_view text, std::vector<sheet_fault>& faults)
{
    return csv_parser(text, faults).run();
}

void append_csv(std::string& text, const std::vector<std::string>& fields)
{
    for (std::size_t index = 0; index < fields.size(); ++index) {
        if (index > 0)
            text.push_back(',');
        const std::string& field = fields[index];
        if (field.find_first_of(",\"\r\n") == std::string::npos) {
            text.append(field);
            continue;
        }
        text.push_back('"');
        for (const char character : field) {
            if (character == '"')
                text.push_back('"');
            text.push_back(character);
        }
        text.push_back('"');
    }
    text.push_back('\n');
}

std::size_t find_invalid_utf8(std::string_view text)
{
    std::size_t position = 0;
    while (position < text.size()) {
        const std::size_t length = utf8_sequence_length(text.substr(position));
        if (length == 0)
            return position;
        position += length;
    }
    return std::string_view::npos;
}

std::string printable(std::string_view value)
{
    std::string result(value.substr(0, max_printable));
    std::replace_if(
        result.begin(), result.end(), [](char character) { return character < ' ' || character > '~'; }, '?');
    if (value.size() > max_printable)
        result.append("...");
    return result;
}

} // namespace siskinwharf::sheet
